/**
 * Which peer entries are up. Failure detection after SWIM (Das, Gupta and Motivala, 2002):
 * each entry probes one peer an interval, asks others to probe for it when that fails, and
 * spreads news on the probes, so that the traffic of an entry does not grow with the fleet.
 */

/** What is thought of a peer. */
export type PeerState = 'alive' | 'suspect' | 'dead';

/** News about a peer. */
export interface PeerUpdate {
  readonly peer: string;
  readonly state: PeerState;
  /** Raised by the peer alone, to refute a suspicion. */
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

/** A message and whom it goes to. */
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
  suspectUntilMs: number;
}

interface Probe {
  readonly peer: string;
  readonly sequence: number;
  readonly directUntilMs: number;
  readonly untilMs: number;
  askedOthers: boolean;
}

interface RelayedProbe {
  readonly asker: string;
  readonly askerSequence: number;
}

const MAX_NEWS = 8;
/** Times that one piece of news is passed on, per doubling of the fleet. */
const SPREAD_FACTOR = 3;

/** State of the peer entries as one entry sees it. */
export class EntryMembership {
  private readonly self: string;
  private readonly random: () => number;
  private readonly probeIntervalMs: number;
  private readonly probeTimeoutMs: number;
  private readonly suspicionMs: number;
  private readonly indirectProbes: number;
  private readonly peers = new Map<string, Peer>();
  private readonly spreading = new Map<string, number>();
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

  /** Peers that are not thought dead, this entry included. */
  liveEntries(): string[] {
    const live = [...this.peers].filter(([, peer]) => peer.state !== 'dead');
    return [this.self, ...live.map(([name]) => name)].sort();
  }

  /** What is thought of a peer. */
  stateOf(peer: string): PeerState {
    return this.peers.get(peer)?.state ?? 'dead';
  }

  /** Lets time pass; gives the messages to send. */
  tick(nowMs: number): OutgoingMessage[] {
    this.buryOverdue(nowMs);
    const out = this.advanceProbe(nowMs);
    if (this.probe === undefined && nowMs >= this.nextProbeAtMs) {
      this.nextProbeAtMs = nowMs + this.probeIntervalMs;
      out.push(...this.startProbe(nowMs));
    }
    return out;
  }

  /** Takes a message; gives the messages to send. */
  receive(message: MembershipMessage, nowMs: number): OutgoingMessage[] {
    this.hearFrom(message.from);
    for (const update of message.news) this.takeUpdate(update, nowMs);
    if (message.type === 'ping') {
      const ack = { type: 'ack', from: this.self, sequence: message.sequence } as const;
      return [{ to: message.from, message: { ...ack, news: this.updatesToSpread() } }];
    }
    if (message.type === 'pingFor') return this.relayProbe(message);
    return this.takeAck(message.sequence, message.from);
  }

  private hearFrom(name: string): void {
    const peer = this.peers.get(name);
    // A peer that speaks is up; its own refutation raises its incarnation for the others.
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
      askedOthers: false,
    };
    return [this.ping(peer, this.sequence)];
  }

  /** Every peer comes once in each round, in a random order. */
  private nextPeer(): string | undefined {
    if (this.probeOrder.length === 0) {
      this.probeOrder = [...this.peers.keys()];
      for (let index = this.probeOrder.length - 1; index > 0; index -= 1) {
        const other = Math.floor(this.random() * (index + 1));
        const moved = this.probeOrder[index] ?? '';
        this.probeOrder[index] = this.probeOrder[other] ?? '';
        this.probeOrder[other] = moved;
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
    if (nowMs < probe.directUntilMs || probe.askedOthers) return [];
    probe.askedOthers = true;
    return this.helpers(probe.peer).map((to) => ({
      to,
      message: {
        type: 'pingFor',
        from: this.self,
        target: probe.peer,
        sequence: probe.sequence,
        news: this.updatesToSpread(),
      },
    }));
  }

  private helpers(target: string): string[] {
    const candidates = [...this.peers]
      .filter(([name, peer]) => name !== target && peer.state === 'alive')
      .map(([name]) => ({ name, order: this.random() }));
    candidates.sort((a, b) => a.order - b.order);
    return candidates.slice(0, this.indirectProbes).map(({ name }) => name);
  }

  private relayProbe(message: MembershipMessage & { type: 'pingFor' }): OutgoingMessage[] {
    this.sequence += 1;
    this.relayed.set(this.sequence, { asker: message.from, askerSequence: message.sequence });
    const oldest = this.relayed.keys().next().value;
    if (this.relayed.size > 64 && oldest !== undefined) this.relayed.delete(oldest);
    return [this.ping(message.target, this.sequence)];
  }

  private takeAck(sequence: number, from: string): OutgoingMessage[] {
    const relayed = this.relayed.get(sequence);
    if (relayed !== undefined) {
      this.relayed.delete(sequence);
      const ack = { type: 'ack', from: this.self, sequence: relayed.askerSequence } as const;
      return [{ to: relayed.asker, message: { ...ack, news: this.updatesToSpread() } }];
    }
    if (this.probe?.sequence !== sequence) return [];
    const { peer } = this.probe;
    this.probe = undefined;
    const known = this.peers.get(peer);
    const answered = from === peer;
    // The answer of the peer itself, or of a helper for it, ends a suspicion of our own.
    if (known !== undefined && known.state !== 'alive' && (answered || known.state === 'suspect')) {
      this.setState(peer, known, 'alive');
    }
    return [];
  }

  private ping(to: string, sequence: number): OutgoingMessage {
    const updates = this.updatesToSpread();
    // A peer must hear that it is suspected, or it could not refute it.
    if (this.peers.get(to)?.state !== 'alive') updates.push(this.updateOf(to));
    return { to, message: { type: 'ping', from: this.self, sequence, news: updates } };
  }

  private suspect(name: string, nowMs: number): void {
    const peer = this.peers.get(name);
    if (peer?.state !== 'alive') return;
    peer.suspectUntilMs = nowMs + this.suspicionMs;
    this.setState(name, peer, 'suspect');
  }

  private buryOverdue(nowMs: number): void {
    for (const [name, peer] of this.peers) {
      if (peer.state === 'suspect' && nowMs >= peer.suspectUntilMs)
        this.setState(name, peer, 'dead');
    }
  }

  private setState(name: string, peer: Peer, state: PeerState): void {
    peer.state = state;
    this.spreading.set(name, 0);
  }

  private takeUpdate(update: PeerUpdate, nowMs: number): void {
    if (update.peer === this.self) {
      this.refute(update);
      return;
    }
    const peer = this.peers.get(update.peer);
    if (peer === undefined || !isFresher(update, peer)) return;
    peer.incarnation = update.incarnation;
    if (update.state === 'suspect') peer.suspectUntilMs = nowMs + this.suspicionMs;
    this.setState(update.peer, peer, update.state);
  }

  private refute(update: PeerUpdate): void {
    if (update.state === 'alive') return;
    // Whoever still holds old news has missed the refutation: it goes out once more.
    this.ownIncarnation = Math.max(this.ownIncarnation, update.incarnation + 1);
    this.spreading.set(this.self, 0);
  }

  /** The news passed on least often so far. */
  private updatesToSpread(): PeerUpdate[] {
    const limit = SPREAD_FACTOR * Math.ceil(Math.log2(this.peers.size + 2));
    const chosen = [...this.spreading].sort((a, b) => a[1] - b[1]).slice(0, MAX_NEWS);
    for (const [name, count] of chosen) {
      if (count + 1 >= limit) this.spreading.delete(name);
      else this.spreading.set(name, count + 1);
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

/** News wins by a higher incarnation, or at the same one by being worse. */
function isFresher(update: PeerUpdate, known: Peer): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return SEVERITY[update.state] > SEVERITY[known.state];
}
