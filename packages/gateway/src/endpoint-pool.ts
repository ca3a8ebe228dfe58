/**
 * The endpoints as one entry sees them: who may take work, and how much is under way there. Each
 * run of an endpoint counts as an endpoint of its own, under the id of the run.
 */
import type { WaitingCapacity } from '@shedline/admission';
import { EndpointDirectory, LeaseClock } from '@shedline/directory';
import type { KnownEndpoint, ZonedName } from '@shedline/directory';
import { runIdOf } from '@shedline/fleet';
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';
import type { ChosenEndpoint, EndpointChooser, SendResult } from '@shedline/forwarding';
import { LoadView, SlotRouting } from '@shedline/routing';
import type { SlotCandidate } from '@shedline/routing';
import type { Announcement, ChoiceTerms } from '@shedline/types';

/** Heartbeats that an endpoint may miss. */
const MISSED_HEARTBEATS = 3;
/** Failures in a row that eject; a connection that cannot be opened counts for as many. */
const FAILURES_TO_EJECT = 2;
/**
 * Status of an endpoint that is not the one meant: a heartbeat of an earlier run at its address came
 * late. What is not there any more looks idle, and would be sent every request for a lease of 3.6 s.
 */
const MISDIRECTED_STATUS = 421;
/** Reason of a send where nobody listens. */
const CLOSED_PORT = 'ECONNREFUSED';
const FIRST_EJECTION_MS = 800;
/**
 * Time from its start in which an entry has not heard the load of all others that use its endpoints: after a loss of all
 * processes the connections between entries were up 1.0 s after their start, and each takes half a second to serve.
 */
const LOADS_UNKNOWN_MS = 1500;
/**
 * Share of the endpoints in reach up to which others are used while these are full. With the others used whenever
 * these were full, an overload queued up at all endpoints alike, whoever could still be on time: see
 * {@link EndpointPool.chooseNear}.
 */
const ENOUGH_SHARE = 0.5;
/**
 * Silence of all control processes that still counts against the leases of endpoints; they are
 * asked every 300 ms. Without this limit all leases ran out together while connections were silent: every entry
 * refused everything for 1.7 s in a fleet of 4 entries and 5 endpoints.
 */
const USUAL_CONTROL_SILENCE_MS = 700;
/**
 * Silence from which on leases run out all the same: three times the usual time that callers keep
 * addresses, after which nobody is sent to an entry that is out of touch.
 */
const LONGEST_CONTROL_SILENCE_MS = 15_000;

/** Work under way at an endpoint, from one entry. */
export interface LoadCount {
  readonly endpointId: string;
  readonly online: number;
  readonly batch: number;
}

/** Options of {@link EndpointPool}. */
export interface EndpointPoolOptions {
  readonly availabilityZone: string;
  /** Time between the heartbeats of an endpoint. */
  readonly heartbeatMs: number;
  readonly random: () => number;
  readonly nowMs: () => number;
  readonly isLeaving: (endpointId: string) => boolean;
  /** Endpoints that this entry sends to while they have room; looked at before all others. */
  readonly inSubset: () => ReadonlySet<string>;
  /** Entries that send to an endpoint, this one included. */
  readonly userCount: (endpointId: string) => number;
  /** Entries that send to endpoints, this one included. */
  readonly entryCount: () => number;
  /** Told when the load of an endpoint changed by this entry's own work. */
  readonly onLoadChange: (endpointId: string) => void;
  /** Told when an online request goes to an endpoint without a free slot. */
  readonly onSlotWanted: (endpointId: string) => void;
  /** Told when an endpoint has started again: the run before, at `address`, is gone. */
  readonly onRunGone: (endpointId: string, address: string, goneForMs: number) => void;
  /** Told when an endpoint or its connection fell silent, after an answer had begun or before. */
  readonly onSilence: (moment: 'begun' | 'notBegun') => void;
}

/** Endpoints with their loads. */
export class EndpointPool implements EndpointChooser {
  private readonly options: EndpointPoolOptions;
  private readonly leaseClock = new LeaseClock({
    usualSilenceMs: USUAL_CONTROL_SILENCE_MS,
    longestSilenceMs: LONGEST_CONTROL_SILENCE_MS,
  });
  private readonly startedAtMs: number;
  private readonly directory: EndpointDirectory;
  private readonly loads = new LoadView();
  private readonly routing: SlotRouting;
  private readonly addresses = new Map<string, string>();
  /** Latest run of each endpoint, by the id that it gives itself. */
  private readonly latest = new Map<string, EndpointHeartbeat>();

  constructor(options: EndpointPoolOptions) {
    this.options = options;
    this.startedAtMs = options.nowMs();
    this.directory = new EndpointDirectory({
      leaseMs: options.heartbeatMs * MISSED_HEARTBEATS,
      slowStartMs: 1,
      failuresToEject: FAILURES_TO_EJECT,
      firstEjectionMs: FIRST_EJECTION_MS,
      leaseClock: this.leaseClock,
    });
    this.routing = new SlotRouting({ random: options.random });
  }

  /** Takes the news of a control process; true where some run was not known before. */
  hear(heartbeats: readonly AgedHeartbeat[]): boolean {
    const nowMs = this.options.nowMs();
    this.leaseClock.heard(nowMs);
    let isAnyNew = false;
    for (const { heartbeat, ageMs } of heartbeats) {
      if (!this.isOfLatestRun(heartbeat, ageMs)) continue;
      const runId = runIdOf(heartbeat);
      isAnyNew ||= !this.addresses.has(runId);
      const isLeaving = this.options.isLeaving(runId);
      this.directory.observe(announcementOf(heartbeat, isLeaving), ageMs, nowMs);
      this.addresses.set(runId, heartbeat.address);
    }
    return isAnyNew;
  }

  /** False for a heartbeat of an earlier run that came late; a later run ends the one before. */
  private isOfLatestRun(heartbeat: EndpointHeartbeat, ageMs: number): boolean {
    const known = this.latest.get(heartbeat.endpointId);
    this.latest.set(heartbeat.endpointId, heartbeat);
    if (known === undefined || known.startedAtMs === heartbeat.startedAtMs) return true;
    if (known.startedAtMs > heartbeat.startedAtMs) {
      this.latest.set(heartbeat.endpointId, known);
      return false;
    }
    const goneId = runIdOf(known);
    this.forget(goneId);
    this.options.onRunGone(goneId, known.address, ageMs);
    return true;
  }

  /** Drops a run with all that is believed of it. */
  private forget(runId: string): void {
    this.directory.forget(runId);
    this.addresses.delete(runId);
    this.loads.forget(runId);
  }

  /** Endpoints that leave take nothing from now on. */
  markLeaving(endpointIds: readonly string[]): void {
    const nowMs = this.options.nowMs();
    for (const endpointId of endpointIds) {
      const known = this.directory.get(endpointId);
      if (known === undefined) continue;
      const { announcement } = known;
      const sequence = announcement.sequence + 0.5;
      const ageMs = this.directory.ageMs(known, nowMs);
      this.directory.observe({ ...announcement, sequence, leaving: true }, ageMs, nowMs);
    }
  }

  /** The process of a run has ended: it takes nothing until it is heard again. */
  markEnded(endpointId: string): void {
    this.directory.ended(endpointId, this.options.nowMs());
  }

  /** Forgets endpoints that are gone; gives the addresses still in use. */
  sweep(): ReadonlySet<string> {
    const nowMs = this.options.nowMs();
    this.directory.forgetSilent(nowMs);
    const live = this.directory.live(nowMs).map((known) => known.announcement.endpointId);
    const liveIds = new Set(live);
    for (const runId of this.addresses.keys()) {
      if (!liveIds.has(runId)) this.addresses.delete(runId);
    }
    // Other entries tell of runs that were never heard of here, or no longer are.
    this.loads.keepOnly(liveIds);
    for (const [endpointId, heartbeat] of this.latest) {
      if (this.directory.get(runIdOf(heartbeat)) === undefined) this.latest.delete(endpointId);
    }
    return new Set(this.addresses.values());
  }

  /**
   * Endpoints of a service in reach that may take work now. Only these are looked at, 8 of 90 in a large
   * fleet: it is asked 25 times a second.
   */
  usableInSubset(service: string): SlotCandidate[] {
    const nowMs = this.options.nowMs();
    return [...this.options.inSubset()].flatMap((endpointId) => {
      const known = this.directory.oneForService(endpointId, service, nowMs);
      return known === undefined ? [] : [this.candidateOf(known, nowMs)];
    });
  }

  /** Endpoints that are up and do not leave, whether or not they take work now. */
  present(): ZonedName[] {
    return this.directory
      .live(this.options.nowMs())
      .filter(({ announcement }) => !announcement.leaving)
      .map(({ announcement }) => ({
        name: announcement.endpointId,
        availabilityZone: announcement.availabilityZone,
      }));
  }

  /** Whether an endpoint may take work now. */
  isUsable(endpointId: string): boolean {
    return this.directory.isUsable(endpointId, this.options.nowMs());
  }

  /** `host:port` of an endpoint. */
  addressOf(endpointId: string): string | undefined {
    return this.addresses.get(endpointId);
  }

  choose(
    service: string,
    tried: ReadonlySet<string>,
    terms: ChoiceTerms = {},
  ): ChosenEndpoint | undefined {
    const chosen = this.chooseNear(service, tried, terms);
    if (chosen === undefined) return undefined;
    const { endpointId, online, batch, slots } = chosen;
    const address = this.addresses.get(endpointId);
    if (address === undefined) return undefined;
    if (online + batch >= slots && batch > 0) this.options.onSlotWanted(endpointId);
    return { endpointId, address, load: online + batch };
  }

  capacity(service: string, excluded: ReadonlySet<string>): WaitingCapacity {
    const known = this.directory
      .forService(service, this.options.nowMs())
      .filter(({ announcement }) => !excluded.has(announcement.endpointId));
    const slots = known.reduce((sum, { announcement }) => sum + announcement.load.capacity, 0);
    return { slots, sharers: this.options.entryCount() };
  }

  get knownWithinMs(): number {
    return this.options.heartbeatMs;
  }

  began(endpointId: string): void {
    this.change(endpointId, 'online', 1);
    this.directory.sent(endpointId);
  }

  ended(endpointId: string, result: SendResult, firstPartMs: number | undefined): void {
    this.change(endpointId, 'online', -1);
    this.judge(endpointId, result, firstPartMs);
  }

  answers(endpointId: string): void {
    this.directory.answers(endpointId);
  }

  /** A batch run begins or ends at an endpoint. */
  batchChange(endpointId: string, by: 1 | -1): void {
    this.change(endpointId, 'batch', by);
    if (by === 1) this.directory.sent(endpointId);
  }

  /** Notes how a send ended, for the choice of endpoints. */
  judge(endpointId: string, result: SendResult, firstPartMs: number | undefined): void {
    const nowMs = this.options.nowMs();
    if (result.kind === 'complete') {
      this.directory.succeeded(endpointId, firstPartMs, nowMs);
      return;
    }
    if (isMisdirected(result)) {
      this.eject(endpointId);
      return;
    }
    const isFailure =
      result.kind === 'ended' &&
      result.outcome.kind !== 'refused' &&
      result.outcome.kind !== 'failed';
    if (!isFailure || this.saysNothing(endpointId, result)) {
      this.directory.inconclusive(endpointId);
      return;
    }
    if (isNobodyThere(result)) this.markEnded(endpointId);
    else if (result.outcome.kind === 'notSent') this.eject(endpointId);
    else this.directory.failed(endpointId, nowMs);
  }

  mayBeWaiting(endpointId: string): boolean {
    const known = this.directory.get(endpointId);
    if (known === undefined) return false;
    const { online, batch, slots } = this.candidateOf(known, this.options.nowMs());
    return online + batch >= slots;
  }

  /** What this entry has under way. */
  ownLoads(): LoadCount[] {
    return this.loads.own();
  }

  /** Takes what another entry has under way. */
  hearLoads(from: string, counts: readonly LoadCount[]): void {
    const nowMs = this.options.nowMs();
    for (const { endpointId, online, batch } of counts) {
      this.loads.peerCount(endpointId, from, { online, batch }, nowMs);
    }
  }

  private usable(service: string): SlotCandidate[] {
    const nowMs = this.options.nowMs();
    return this.directory.forService(service, nowMs).map((known) => this.candidateOf(known, nowMs));
  }

  /**
   * Endpoints beyond reach are for when half of those in reach cannot be used. Their users do not tell this
   * entry of their load: a short queue that is known is better. While entries left as soon as no slot in
   * reach was free, and took the others for idle, 98 of 409 requests of a peak went there and 35 of these
   * were late; of 19 that queued in reach 2 were (one zone of a fleet of 165 entries and 52 endpoints).
   */
  private chooseNear(
    service: string,
    tried: ReadonlySet<string>,
    terms: ChoiceTerms,
  ): SlotCandidate | undefined {
    const isUntried = ({ endpointId }: SlotCandidate): boolean => !tried.has(endpointId);
    const near = this.usableInSubset(service).filter(isUntried);
    const mayQueue = terms.mayQueue !== false && !this.areLoadsUnknown;
    const zone = this.options.availabilityZone;
    const chosen = this.routing.choose(near, zone, { ...terms, mayQueue });
    if (chosen !== undefined || this.isEnough(near.length)) return chosen;
    return this.chooseFar(this.usable(service).filter(isUntried));
  }

  /** Whether the endpoints in reach that may take work are as many as usual, so that only their load keeps a request. */
  private isEnough(usableCount: number): boolean {
    return usableCount > ENOUGH_SHARE * this.options.inSubset().size;
  }

  /** Any of them alike, in whatever zone: that of this entry is full as far as it knows. */
  private chooseFar(usable: readonly SlotCandidate[]): SlotCandidate | undefined {
    const inSubset = this.options.inSubset();
    const far = usable.filter(({ endpointId }) => !inSubset.has(endpointId));
    return far[Math.floor(this.options.random() * far.length)];
  }

  /**
   * An answer that fell silent after it had begun tells of its connection: the next request opens a
   * new one, which fails at once where the endpoint is gone. Silence before that says nothing of
   * an endpoint that has more requests than it runs at once.
   */
  private saysNothing(endpointId: string, result: SendResult): boolean {
    if (result.kind !== 'ended' || !('isSilence' in result.outcome)) return false;
    const hasBegun = result.outcome.kind === 'brokeOff';
    this.options.onSilence(hasBegun ? 'begun' : 'notBegun');
    return hasBegun || this.mayBeWaiting(endpointId);
  }

  private eject(endpointId: string): void {
    const nowMs = this.options.nowMs();
    for (let failure = 0; failure < FAILURES_TO_EJECT; failure += 1) {
      this.directory.failed(endpointId, nowMs);
    }
  }

  private change(endpointId: string, kind: 'online' | 'batch', by: 1 | -1): void {
    this.loads.change(endpointId, kind, by);
    this.options.onLoadChange(endpointId);
  }

  /** Whether the others that use the endpoints have not told their loads yet. */
  private get areLoadsUnknown(): boolean {
    return this.options.nowMs() - this.startedAtMs < LOADS_UNKNOWN_MS;
  }

  /**
   * Online requests at an endpoint. Until the others have told theirs, each is taken to have as many as this entry: after
   * a loss of all processes in a peak the entries took the endpoints for idle, sent 560 requests to 224 slots in 0.8 s, and
   * what came then waited 0.45 s behind them.
   */
  private onlineAt(endpointId: string, nowMs: number): number {
    const known = Math.round(this.loads.online(endpointId, nowMs, false));
    if (!this.areLoadsUnknown) return known;
    return Math.max(known, this.loads.ownOnline(endpointId) * this.options.userCount(endpointId));
  }

  private candidateOf({ announcement }: KnownEndpoint, nowMs: number): SlotCandidate {
    const { endpointId, availabilityZone, load } = announcement;
    return {
      endpointId,
      availabilityZone,
      online: this.onlineAt(endpointId, nowMs),
      batch: this.loads.batch(endpointId, nowMs),
      slots: load.capacity,
    };
  }
}

/** Whether the machine answered that nobody listens. */
function isNobodyThere(result: SendResult): boolean {
  if (result.kind !== 'ended' || result.outcome.kind !== 'notSent') return false;
  return result.outcome.reason === CLOSED_PORT;
}

function isMisdirected(result: SendResult): boolean {
  if (result.kind !== 'ended' || result.outcome.kind !== 'refused') return false;
  return result.outcome.status === MISDIRECTED_STATUS;
}

function announcementOf(heartbeat: EndpointHeartbeat, leaving: boolean): Announcement {
  return {
    endpointId: runIdOf(heartbeat),
    // The id tells the runs of an endpoint apart already.
    incarnation: 0,
    sequence: heartbeat.sequence,
    url: `http://${heartbeat.address}`,
    availabilityZone: heartbeat.availabilityZone,
    kind: 'plain',
    models: [],
    services: [heartbeat.service],
    load: { running: 0, waiting: 0, capacity: heartbeat.slots },
    checksFencing: false,
    leaving,
  };
}
