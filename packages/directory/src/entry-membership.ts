/**
 * Tracks which peer entries are up, with the SWIM protocol (Das, Gupta and Motivala, 2002): each
 * entry probes one peer per interval, asks others for indirect probes if that fails, and piggybacks
 * state changes on the probes, so the traffic of an entry does not grow with the fleet.
 */

/** State of a peer as seen by this entry. */
export type PeerState = 'alive' | 'suspect' | 'dead';

/** A change of a peer's state. */
export interface PeerUpdate {
  readonly peer: string;
  readonly state: PeerState;
  /** Raised only by the peer itself, to refute a suspicion. */
  readonly incarnation: number;
}

/** Messages between entries. */
export type MembershipMessage =
  | {
      readonly type: 'ping';
      readonly from: string;
      readonly sequence: number;
      readonly news: readonly PeerUpdate[];
    }
  | {
      readonly type: 'ack';
      readonly from: string;
      readonly sequence: number;
      readonly news: readonly PeerUpdate[];
    }
  | {
      readonly type: 'pingFor';
      readonly from: string;
      readonly target: string;
      readonly sequence: number;
      readonly news: readonly PeerUpdate[];
    };

/** A message and its recipient. */
export interface OutgoingMessage {
  readonly to: string;
  readonly message: MembershipMessage;
}

/** Options of {@link EntryMembership}. */
export interface EntryMembershipOptions {
  readonly self: string;
  /** All peers from the settings. */
  readonly peers: readonly string[];
  readonly random: () => number;
  readonly incarnation?: number;
  readonly probeIntervalMs?: number;
  readonly probeTimeoutMs?: number;
  readonly suspicionMs?: number;
  readonly indirectProbes?: number;
}

interface Peer {
  state: PeerState;
  incarnation: number;
  /** Time at which the peer counts as dead if it is still suspected. */
  suspectUntilMs: number;
}

interface Probe {
  readonly peer: string;
  readonly sequence: number;
  /** Time from which indirect probes are requested. */
  readonly directUntilMs: number;
  /** Time from which the peer is suspected. */
  readonly untilMs: number;
  /** Whether other entries were asked to probe the peer. */
  isIndirect: boolean;
}

interface RelayedProbe {
  readonly requester: string;
  readonly requesterSequence: number;
}

const MAX_UPDATES_PER_MESSAGE = 8;
/** Times that an update is transmitted, per doubling of the fleet. */
const TRANSMIT_FACTOR = 3;

/** State of the peer entries as one entry sees it. */
export class EntryMembership {
  private readonly self: string;
  private readonly random: () => number;
  private readonly probeIntervalMs: number;
  private readonly probeTimeoutMs: number;
  private readonly suspicionMs: number;
  private readonly indirectProbes: number;
  private readonly peers = new Map<string, Peer>();
  /** Transmissions so far of each update that is still being disseminated, by peer. */
  private readonly transmitCounts = new Map<string, number>();
  /** Probes sent for other entries, by sequence. */
  private readonly relayed = new Map<number, RelayedProbe>();
  private ownIncarnation: number;
  private sequence = 0;
  private probe: Probe | undefined;
  private nextProbeAtMs = 0;
  private probeOrder: string[] = [];

  constructor(options: EntryMembershipOptions) {
    this.self = options.self;
    this.random = options.random;
    this.ownIncarnation = options.incarnation ?? 0;
    this.probeIntervalMs = options.probeIntervalMs ?? 1000;
    this.probeTimeoutMs = options.probeTimeoutMs ?? 300;
    this.suspicionMs = options.suspicionMs ?? 2000;
    this.indirectProbes = options.indirectProbes ?? 3;
    for (const peer of options.peers) {
      if (peer === this.self) continue;
      this.peers.set(peer, { state: 'alive', incarnation: -1, suspectUntilMs: 0 });
    }
  }

  /** Returns the peers that are not considered dead, and this entry. */
  liveEntries(): string[] {
    const live = [...this.peers].filter(([, peer]) => peer.state !== 'dead');
    return [this.self, ...live.map(([name]) => name)].sort();
  }

  stateOf(peer: string): PeerState {
    return this.peers.get(peer)?.state ?? 'dead';
  }

  /** Advances timers; returns the messages to send. */
  tick(nowMs: number): OutgoingMessage[] {
    this.markOverdueDead(nowMs);
    const messages = this.advanceProbe(nowMs);
    if (this.probe === undefined && nowMs >= this.nextProbeAtMs) {
      this.nextProbeAtMs = nowMs + this.probeIntervalMs;
      messages.push(...this.startProbe(nowMs));
    }
    return messages;
  }

  /** Handles a message; returns the messages to send. */
  receive(message: MembershipMessage, nowMs: number): OutgoingMessage[] {
    this.noteContact(message.from);
    for (const update of message.news) this.applyUpdate(update, nowMs);
    if (message.type === 'ping') {
      const ack = { type: 'ack', from: this.self, sequence: message.sequence } as const;
      return [{ to: message.from, message: { ...ack, news: this.nextUpdates() } }];
    }
    if (message.type === 'pingFor') return this.relayProbe(message);
    return this.handleAck(message.sequence, message.from);
  }

  private noteContact(name: string): void {
    const peer = this.peers.get(name);
    // A peer that sends a message is up; its own refutation raises its incarnation for the others.
    if (peer?.state === 'dead') {
      peer.state = 'suspect';
      peer.suspectUntilMs = Infinity;
    }
  }

  private startProbe(nowMs: number): OutgoingMessage[] {
    const peer = this.nextPeer();
    if (peer === undefined) return [];
    this.sequence += 1;
    this.probe = {
      peer,
      sequence: this.sequence,
      directUntilMs: nowMs + this.probeTimeoutMs,
      untilMs: nowMs + this.probeIntervalMs,
      isIndirect: false,
    };
    return [this.ping(peer, this.sequence)];
  }

  /** Returns each peer once per round, in a random order. */
  private nextPeer(): string | undefined {
    if (this.probeOrder.length === 0) {
      this.probeOrder = [...this.peers.keys()];
      for (let index = this.probeOrder.length - 1; index > 0; index -= 1) {
        const other = Math.floor(this.random() * (index + 1));
        const swapped = this.probeOrder[index] ?? '';
        this.probeOrder[index] = this.probeOrder[other] ?? '';
        this.probeOrder[other] = swapped;
      }
    }
    return this.probeOrder.pop();
  }

  private advanceProbe(nowMs: number): OutgoingMessage[] {
    const probe = this.probe;
    if (probe === undefined) return [];
    if (nowMs >= probe.untilMs) {
      this.probe = undefined;
      this.suspect(probe.peer, nowMs);
      return [];
    }
    if (nowMs < probe.directUntilMs || probe.isIndirect) return [];
    probe.isIndirect = true;
    return this.chooseIndirectProbers(probe.peer).map((to) => ({
      to,
      message: {
        type: 'pingFor',
        from: this.self,
        target: probe.peer,
        sequence: probe.sequence,
        news: this.nextUpdates(),
      },
    }));
  }

  private chooseIndirectProbers(target: string): string[] {
    const candidates = [...this.peers]
      .filter(([name, peer]) => name !== target && peer.state === 'alive')
      .map(([name]) => ({ name, order: this.random() }));
    candidates.sort((a, b) => a.order - b.order);
    return candidates.slice(0, this.indirectProbes).map(({ name }) => name);
  }

  private relayProbe(message: MembershipMessage & { type: 'pingFor' }): OutgoingMessage[] {
    this.sequence += 1;
    this.relayed.set(this.sequence, {
      requester: message.from,
      requesterSequence: message.sequence,
    });
    const oldest = this.relayed.keys().next().value;
    if (this.relayed.size > 64 && oldest !== undefined) this.relayed.delete(oldest);
    return [this.ping(message.target, this.sequence)];
  }

  private handleAck(sequence: number, from: string): OutgoingMessage[] {
    const relayed = this.relayed.get(sequence);
    if (relayed !== undefined) {
      this.relayed.delete(sequence);
      const ack = { type: 'ack', from: this.self, sequence: relayed.requesterSequence } as const;
      return [{ to: relayed.requester, message: { ...ack, news: this.nextUpdates() } }];
    }
    if (this.probe?.sequence !== sequence) return [];
    const { peer } = this.probe;
    this.probe = undefined;
    const known = this.peers.get(peer);
    const isDirect = from === peer;
    // An ack of the peer itself, or of an indirect probe, ends this entry's own suspicion.
    if (known !== undefined && known.state !== 'alive' && (isDirect || known.state === 'suspect')) {
      this.setState(peer, known, 'alive');
    }
    return [];
  }

  private ping(to: string, sequence: number): OutgoingMessage {
    const updates = this.nextUpdates();
    // A peer must learn that it is suspected, or it could not refute it.
    if (this.peers.get(to)?.state !== 'alive') updates.push(this.updateOf(to));
    return { to, message: { type: 'ping', from: this.self, sequence, news: updates } };
  }

  private suspect(name: string, nowMs: number): void {
    const peer = this.peers.get(name);
    if (peer?.state !== 'alive') return;
    peer.suspectUntilMs = nowMs + this.suspicionMs;
    this.setState(name, peer, 'suspect');
  }

  private markOverdueDead(nowMs: number): void {
    for (const [name, peer] of this.peers) {
      if (peer.state === 'suspect' && nowMs >= peer.suspectUntilMs)
        this.setState(name, peer, 'dead');
    }
  }

  private setState(name: string, peer: Peer, state: PeerState): void {
    peer.state = state;
    this.transmitCounts.set(name, 0);
  }

  private applyUpdate(update: PeerUpdate, nowMs: number): void {
    if (update.peer === this.self) {
      this.refute(update);
      return;
    }
    const peer = this.peers.get(update.peer);
    if (peer === undefined || !takesPrecedence(update, peer)) return;
    peer.incarnation = update.incarnation;
    if (update.state === 'suspect') peer.suspectUntilMs = nowMs + this.suspicionMs;
    this.setState(update.peer, peer, update.state);
  }

  private refute(update: PeerUpdate): void {
    if (update.state === 'alive') return;
    // The sender of a stale suspicion has missed the refutation, so it is disseminated again.
    this.ownIncarnation = Math.max(this.ownIncarnation, update.incarnation + 1);
    this.transmitCounts.set(this.self, 0);
  }

  /** Returns the updates transmitted least often so far. */
  private nextUpdates(): PeerUpdate[] {
    const limit = TRANSMIT_FACTOR * Math.ceil(Math.log2(this.peers.size + 2));
    const chosen = [...this.transmitCounts]
      .sort((a, b) => a[1] - b[1])
      .slice(0, MAX_UPDATES_PER_MESSAGE);
    for (const [name, count] of chosen) {
      if (count + 1 >= limit) this.transmitCounts.delete(name);
      else this.transmitCounts.set(name, count + 1);
    }
    return chosen.map(([name]) => this.updateOf(name));
  }

  private updateOf(name: string): PeerUpdate {
    const peer = this.peers.get(name);
    if (peer === undefined) return { peer: name, state: 'alive', incarnation: this.ownIncarnation };
    return { peer: name, state: peer.state, incarnation: peer.incarnation };
  }
}

const SEVERITY: Readonly<Record<PeerState, number>> = { alive: 0, suspect: 1, dead: 2 };

/** An update takes precedence with a higher incarnation, or with a worse state of the same one. */
function takesPrecedence(update: PeerUpdate, known: Peer): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return SEVERITY[update.state] > SEVERITY[known.state];
}
