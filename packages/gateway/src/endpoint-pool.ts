/**
 * The endpoints known to an entry: which of them may take work, and their load. Each incarnation of
 * an endpoint is tracked as a separate endpoint, under its run id.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { WaitingCapacity } from '@shedline/admission';
import { EndpointDirectory, LeaseClock } from '@shedline/directory';
import type { KnownEndpoint, ZonedName } from '@shedline/directory';
import { UNKNOWN_START_MS, endpointIdOf, runIdOf, runOf } from '@shedline/fleet';
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';
import type { ChosenEndpoint, EndpointChooser, SendResult } from '@shedline/forwarding';
import { LoadView, SlotRouting, StartRate } from '@shedline/routing';
import type { ReportableLoad, SlotCandidate } from '@shedline/routing';
import type { StreamOrigin } from '@shedline/stream-origins';
import type { Announcement, ChoiceOptions } from '@shedline/types';
import { RunConfirmations } from './run-confirmations.js';

/** Heartbeat intervals after which the lease of an endpoint expires. */
const MISSED_HEARTBEATS = 3;
/**
 * Heartbeat intervals after which the next heartbeat has been sent and passed on between control
 * processes, which let it wait for a sixth of the interval.
 */
const HEARTBEATS_TO_CONFIRM = 1.25;
/** Time within which entries then read it: control processes are polled every 500 ms. */
const CONFIRMATION_READ_MS = 700;
/**
 * Time that a process which has ended may take to close its connections; the next one may already accept
 * some at its address.
 */
const PROCESS_END_MS = 50;
/** Number of replaced incarnations that are remembered; streams last far shorter. */
const MAX_IN_DOUBT = 1000;
/** Consecutive failures that eject an endpoint; a failed connection attempt ejects it at once. */
const FAILURES_BEFORE_EJECTION = 2;
/**
 * Status of an endpoint that is not the intended one, because a delayed heartbeat announced a
 * previous endpoint at its address. A stopped endpoint looks idle and would attract all requests
 * for its lease of 3.6 s.
 */
const MISDIRECTED_STATUS = 421;
/** Failure reason of a request to a port on which no process listens. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
const FIRST_EJECTION_MS = 800;
/**
 * Time after startup during which the loads reported by other entries are incomplete. After a
 * restart of all processes the connections between entries were open 1.0 s after startup, and each
 * entry needs half a second until it serves.
 */
const LOADS_UNKNOWN_MS = 1500;
/**
 * Share of the subset's endpoints that must be usable for requests to stay within the subset. When
 * entries left the subset as soon as it was full, an overload built up queues at all endpoints and
 * delayed requests that could have met their target; see {@link EndpointPool.chooseCandidate}.
 */
const MIN_USABLE_SHARE = 0.5;
/**
 * Maximum time without data from any control process (polled every 500 ms) that counts against
 * endpoint leases. Without this limit all leases expired together while connections were
 * unresponsive, and every entry of a fleet of 4 entries and 5 endpoints refused all requests for
 * 1.7 s.
 */
const USUAL_CONTROL_SILENCE_MS = 700;
/**
 * Time without data from any control process after which leases expire nevertheless: three times
 * the usual time for which callers cache addresses, after which no caller uses a disconnected
 * entry.
 */
const LONGEST_CONTROL_SILENCE_MS = 15_000;

/** Number of requests and batch items that one entry has in progress at an endpoint. */
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
  /** Endpoints in the subset of this entry, which are preferred to all others. */
  readonly inSubset: () => ReadonlySet<string>;
  /** Number of entries with an endpoint in their subset, including this one. */
  readonly userCount: (endpointId: string) => number;
  /** Number of entries that serve, including this one. */
  readonly entryCount: () => number;
  /** Returns since when the process at an address is known to be the same; Infinity if it is not. */
  readonly sameProcessSinceMs: (address: string) => number;
  /** Called when this entry's own load at an endpoint changes. */
  readonly onLoadChange: (endpointId: string) => void;
  /**
   * Called when an online request is sent to an endpoint whose slots are partly used by batch work.
   */
  readonly onSlotWanted: (endpointId: string) => void;
  /** Called when a new incarnation of an endpoint replaces the previous one, at `address`. */
  readonly onRunReplaced: (endpointId: string, address: string, heartbeatAgeMs: number) => void;
  /**
   * Called when an endpoint has restarted under its id as another software version, at some time after
   * `sinceMs`.
   */
  readonly onWriterInDoubt: (endpointId: string, sinceMs: number) => void;
  /**
   * Called when an attempt fails because no data arrived within its time limit; `moment` states
   * whether the response had begun.
   */
  readonly onTimeout: (moment: 'begun' | 'notBegun') => void;
}

/** Tracks the endpoints and chooses one for each request. */
export class EndpointPool implements EndpointChooser {
  private readonly options: EndpointPoolOptions;
  private readonly leaseClock = new LeaseClock({
    pauseAfterMs: USUAL_CONTROL_SILENCE_MS,
    resumeAfterMs: LONGEST_CONTROL_SILENCE_MS,
  });
  private readonly startedAtMs: number;
  private readonly directory: EndpointDirectory;
  private readonly loads = new LoadView();
  /** Rate at which this entry starts requests and items at all endpoints. */
  private readonly startRate = new StartRate();
  private readonly routing: SlotRouting;
  private readonly runConfirmations: RunConfirmations;
  /** When heartbeats, or word that there are none, last arrived from a control process. */
  private lastNewsAtMs = -Infinity;
  /** Since when incarnations that were replaced by another software version are in doubt. */
  private readonly inDoubtSinceMs = new Map<string, number>();
  private readonly addresses = new Map<string, string>();
  /** Software versions of the incarnations that state one. */
  private readonly softwareVersions = new Map<string, string>();
  /** Heartbeat of the latest incarnation of each endpoint, by endpoint id. */
  private readonly latestHeartbeats = new Map<string, EndpointHeartbeat>();

  constructor(options: EndpointPoolOptions) {
    this.options = options;
    this.startedAtMs = options.nowMs();
    this.directory = new EndpointDirectory({
      leaseMs: options.heartbeatMs * MISSED_HEARTBEATS,
      slowStartMs: 1,
      failuresToEject: FAILURES_BEFORE_EJECTION,
      firstEjectionMs: FIRST_EJECTION_MS,
      leaseClock: this.leaseClock,
    });
    this.routing = new SlotRouting({ random: options.random });
    this.runConfirmations = new RunConfirmations({
      maxWaitMs: options.heartbeatMs * HEARTBEATS_TO_CONFIRM + CONFIRMATION_READ_MS,
    });
  }

  /** Applies heartbeats relayed by a control process; returns whether an incarnation is new. */
  observeHeartbeats(heartbeats: readonly AgedHeartbeat[]): boolean {
    const nowMs = this.options.nowMs();
    this.leaseClock.messageReceived(nowMs);
    this.lastNewsAtMs = nowMs;
    let isAnyNew = false;
    for (const { heartbeat, ageMs } of heartbeats) {
      if (!this.isOfLatestRun(heartbeat, ageMs)) continue;
      const runId = runIdOf(heartbeat);
      isAnyNew ||= !this.addresses.has(runId);
      const isLeaving = this.options.isLeaving(runId);
      this.directory.observe(announcementOf(heartbeat, isLeaving), ageMs, nowMs);
      this.addresses.set(runId, heartbeat.address);
      this.runConfirmations.heard(runId, nowMs - ageMs);
      const { softwareVersion } = heartbeat;
      if (softwareVersion !== undefined) this.softwareVersions.set(runId, softwareVersion);
    }
    return isAnyNew;
  }

  /**
   * Returns false for a delayed heartbeat of a previous incarnation; drops the previous incarnation
   * on the first heartbeat of a new one.
   */
  private isOfLatestRun(heartbeat: EndpointHeartbeat, ageMs: number): boolean {
    const known = this.latestHeartbeats.get(heartbeat.endpointId);
    this.latestHeartbeats.set(heartbeat.endpointId, heartbeat);
    if (known === undefined || known.startedAtMs === heartbeat.startedAtMs) return true;
    if (known.startedAtMs > heartbeat.startedAtMs) {
      this.latestHeartbeats.set(heartbeat.endpointId, known);
      return false;
    }
    const previousId = runIdOf(known);
    if ((known.softwareVersion ?? '') !== (heartbeat.softwareVersion ?? ''))
      this.noteWriterInDoubt(previousId);
    this.forget(previousId);
    this.options.onRunReplaced(previousId, known.address, ageMs);
    return true;
  }

  /**
   * Notes that an incarnation was replaced by one of another software version, at some time after it was
   * last heard of: the next one may have written what arrived since.
   */
  private noteWriterInDoubt(runId: string): void {
    const sinceMs = this.runConfirmations.lastHeardAtMs(runId);
    this.inDoubtSinceMs.set(runId, sinceMs);
    const [oldest] = this.inDoubtSinceMs.keys();
    if (this.inDoubtSinceMs.size > MAX_IN_DOUBT && oldest !== undefined)
      this.inDoubtSinceMs.delete(oldest);
    this.options.onWriterInDoubt(runId, sinceMs);
  }

  /** Removes an incarnation with its health and load state. */
  private forget(runId: string): void {
    this.directory.remove(runId);
    this.addresses.delete(runId);
    this.softwareVersions.delete(runId);
    this.runConfirmations.ended(runId);
    this.loads.remove(runId);
  }

  /** Marks endpoints that drain or deregister: no new work is sent to them. */
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

  /** Marks an incarnation whose process has ended: it is not used until its next heartbeat. */
  markDown(endpointId: string): void {
    this.directory.ended(endpointId, this.options.nowMs());
  }

  /** Removes endpoints whose leases have expired; returns the addresses still in use. */
  sweep(): ReadonlySet<string> {
    const nowMs = this.options.nowMs();
    this.directory.forgetExpired(nowMs);
    const live = this.directory.live(nowMs).map((known) => known.announcement.endpointId);
    const liveIds = new Set(live);
    for (const runId of this.addresses.keys()) {
      if (!liveIds.has(runId)) this.addresses.delete(runId);
    }
    for (const runId of this.softwareVersions.keys()) {
      if (this.directory.get(runId) === undefined) this.softwareVersions.delete(runId);
    }
    this.runConfirmations.keepOnly(liveIds);
    // Other entries also report loads of incarnations that are unknown or already removed here.
    this.loads.removeAllExcept(liveIds);
    for (const [endpointId, heartbeat] of this.latestHeartbeats) {
      if (this.directory.get(runIdOf(heartbeat)) === undefined)
        this.latestHeartbeats.delete(endpointId);
    }
    return new Set(this.addresses.values());
  }

  /**
   * Returns the usable endpoints of a service in this entry's subset. Called 10 to 25 times a second, so
   * only the subset is examined, which has 8 of 90 endpoints in a large fleet.
   */
  usableInSubset(service: string): SlotCandidate[] {
    const nowMs = this.options.nowMs();
    return [...this.options.inSubset()].flatMap((endpointId) => {
      const known = this.directory.endpointForService(endpointId, service, nowMs);
      return known === undefined ? [] : [this.candidateOf(known, nowMs)];
    });
  }

  /** Returns the endpoints that are up and not draining, including ejected ones. */
  activeEndpoints(): ZonedName[] {
    return this.directory
      .live(this.options.nowMs())
      .filter(({ announcement }) => !announcement.leaving)
      .map(({ announcement }) => ({
        name: announcement.endpointId,
        availabilityZone: announcement.availabilityZone,
      }));
  }

  /** Returns whether an endpoint may take work now. */
  isUsable(endpointId: string): boolean {
    return this.directory.isUsable(endpointId, this.options.nowMs());
  }

  /** Returns the `host:port` of an endpoint. */
  addressOf(endpointId: string): string | undefined {
    return this.addresses.get(endpointId);
  }

  /** Returns the software version of an endpoint; empty if it states none or is unknown. */
  softwareVersionOf(endpointId: string): string {
    return this.softwareVersions.get(endpointId) ?? '';
  }

  /** Returns what writes the events of an endpoint. */
  originOf(endpointId: string): StreamOrigin {
    const service = this.serviceOf(endpointId) ?? '';
    return { service, softwareVersion: this.softwareVersionOf(endpointId) };
  }

  /** Returns the service of an endpoint; undefined if the endpoint is unknown. */
  serviceOf(endpointId: string): string | undefined {
    return this.directory.get(endpointId)?.announcement.services[0];
  }

  choose(
    service: string,
    tried: ReadonlySet<string>,
    options: ChoiceOptions = {},
  ): ChosenEndpoint | undefined {
    const chosen = this.chooseCandidate(service, tried, options);
    if (chosen === undefined) return undefined;
    const { endpointId, online, batch, slots } = chosen;
    const address = this.addresses.get(endpointId);
    if (address === undefined) return undefined;
    if (online + batch >= slots && batch > 0) this.options.onSlotWanted(endpointId);
    const softwareVersion = this.softwareVersionOf(endpointId);
    return { endpointId, address, softwareVersion, load: online + batch };
  }

  capacity(
    service: string,
    excluded: ReadonlySet<string>,
    softwareVersion?: string,
  ): WaitingCapacity {
    const known = this.directory
      .forService(service, this.options.nowMs())
      .filter(
        ({ announcement: { endpointId } }) =>
          !excluded.has(endpointId) && this.hasSoftwareVersion(endpointId, softwareVersion),
      );
    const slots = known.reduce((sum, { announcement }) => sum + announcement.load.capacity, 0);
    return { slots, entryCount: this.options.entryCount() };
  }

  isServed(service: string, softwareVersion: string, excluded: ReadonlySet<string>): boolean {
    return this.directory
      .upForService(service, this.options.nowMs())
      .some(
        ({ announcement: { endpointId } }) =>
          !excluded.has(endpointId) && this.hasSoftwareVersion(endpointId, softwareVersion),
      );
  }

  softwareVersionsOf(service: string): readonly string[] {
    const up = this.directory.upForService(service, this.options.nowMs());
    const versions = up.map(({ announcement }) => this.softwareVersionOf(announcement.endpointId));
    return [...new Set(versions)];
  }

  get announcedWithinMs(): number {
    return this.options.heartbeatMs;
  }

  noteSendStarted(endpointId: string): void {
    this.changeLoad(endpointId, 'online', 1);
    this.directory.sent(endpointId);
  }

  noteSendEnded(endpointId: string, result: SendResult, firstPartMs: number | undefined): void {
    this.changeLoad(endpointId, 'online', -1);
    this.recordOutcome(endpointId, result, firstPartMs);
  }

  noteResponseStarted(endpointId: string): void {
    this.directory.responseStarted(endpointId);
  }

  /** Counts a batch item that begins (1) or ends (-1) at an endpoint. */
  batchChange(endpointId: string, by: 1 | -1): void {
    this.changeLoad(endpointId, 'batch', by);
    if (by === 1) this.directory.sent(endpointId);
  }

  /** Returns the number of batch items at an endpoint, for any entry. */
  batchAt(endpointId: string): number {
    return this.loads.batch(endpointId, this.options.nowMs());
  }

  /** Updates the health of an endpoint with the outcome of an attempt. */
  recordOutcome(endpointId: string, result: SendResult, firstPartMs: number | undefined): void {
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
    if (!isFailure || this.isInconclusive(endpointId, result)) {
      this.directory.inconclusive(endpointId);
      return;
    }
    if (isConnectionRefused(result)) this.markDown(endpointId);
    else if (result.outcome.kind === 'notSent') this.eject(endpointId);
    else this.directory.failed(endpointId, nowMs);
  }

  async confirmServing(endpointId: string): Promise<boolean> {
    await pause(PROCESS_END_MS);
    const known = this.latestHeartbeats.get(endpointIdOf(endpointId));
    if (known === undefined || runIdOf(known) !== endpointId) return false;
    if (known.startedAtMs === UNKNOWN_START_MS) return true;
    const sinceMs = this.options.sameProcessSinceMs(known.address);
    return this.runConfirmations.wait(endpointId, Math.min(sinceMs, this.options.nowMs()));
  }

  isWriterCertain(endpointId: string, atMs: number): boolean {
    if (atMs > (this.inDoubtSinceMs.get(endpointId) ?? Infinity)) return false;
    if (runOf(endpointId).startedAtMs === UNKNOWN_START_MS) return true;
    // While this entry is cut off, endpoints may restart without its knowledge.
    const hasNews = this.options.nowMs() - this.lastNewsAtMs <= USUAL_CONTROL_SILENCE_MS;
    return hasNews || this.runConfirmations.lastHeardAtMs(endpointId) >= atMs;
  }

  mayBeQueued(endpointId: string): boolean {
    const known = this.directory.get(endpointId);
    if (known === undefined) return false;
    const { online, batch, slots } = this.candidateOf(known, this.options.nowMs());
    return online + batch >= slots;
  }

  /** Returns the load from this entry by endpoint. */
  ownLoads(): LoadCount[] {
    return this.loads.ownCounts();
  }

  /**
   * Returns what decides how soon this entry's load at an endpoint is reported; undefined if the
   * endpoint is unknown. The other entries are assumed to start requests at the rate of this one.
   */
  reportableLoad(endpointId: string): ReportableLoad | undefined {
    const own = this.loads.ownLoad(endpointId);
    if (own === undefined) return undefined;
    const nowMs = this.options.nowMs();
    const known = this.loads.online(endpointId, nowMs, false) + this.loads.batch(endpointId, nowMs);
    const slots = this.directory.get(endpointId)?.announcement.load.capacity ?? 0;
    const subsetSize = Math.max(1, this.options.inSubset().size);
    const perEndpoint = this.startRate.perS(nowMs) / subsetSize;
    return { own, known, slots, startsPerS: perEndpoint * this.options.userCount(endpointId) };
  }

  /** Applies the loads reported by another entry. */
  observePeerLoads(from: string, counts: readonly LoadCount[]): void {
    const nowMs = this.options.nowMs();
    for (const { endpointId, online, batch } of counts) {
      this.loads.recordPeerCounts(endpointId, from, { online, batch }, nowMs);
    }
  }

  private usable(service: string): SlotCandidate[] {
    const nowMs = this.options.nowMs();
    return this.directory.forService(service, nowMs).map((known) => this.candidateOf(known, nowMs));
  }

  /**
   * Chooses in the subset; endpoints outside it are used only if half of the subset is unusable.
   * Their load is not reported to this entry, so a short known queue is better. When entries left
   * the subset as soon as it had no free slot and assumed other endpoints to be idle, 98 of 409
   * requests of a peak left it and 35 of these missed their target; of the 19 that queued in the
   * subset, 2 missed it (one zone of a fleet of 165 entries and 52 endpoints).
   */
  private chooseCandidate(
    service: string,
    tried: ReadonlySet<string>,
    options: ChoiceOptions,
  ): SlotCandidate | undefined {
    const mayServe = ({ endpointId }: SlotCandidate): boolean =>
      !tried.has(endpointId) && this.hasSoftwareVersion(endpointId, options.softwareVersion);
    const usable = this.usableInSubset(service).filter(mayServe);
    const mayQueue = options.mayQueue !== false && !this.areLoadsUnknown;
    const zone = this.options.availabilityZone;
    const chosen = this.routing.choose(usable, zone, { ...options, mayQueue });
    if (chosen !== undefined || this.hasEnoughUsable(usable.length)) return chosen;
    return this.chooseOutsideSubset(this.usable(service).filter(mayServe));
  }

  private hasSoftwareVersion(endpointId: string, required: string | undefined): boolean {
    return required === undefined || this.softwareVersionOf(endpointId) === required;
  }

  /** Returns whether enough of the subset is usable to keep requests within it. */
  private hasEnoughUsable(usableCount: number): boolean {
    return usableCount > MIN_USABLE_SHARE * this.options.inSubset().size;
  }

  /** Chooses uniformly in all zones, since the subset in this entry's zone is full or unusable. */
  private chooseOutsideSubset(usable: readonly SlotCandidate[]): SlotCandidate | undefined {
    const inSubset = this.options.inSubset();
    const outside = usable.filter(({ endpointId }) => !inSubset.has(endpointId));
    return outside[Math.floor(this.options.random() * outside.length)];
  }

  /**
   * Returns whether a timeout is no evidence of an unhealthy endpoint. Once a response has begun,
   * the connection is suspected: the next request opens a new one, which fails at once if the
   * endpoint has stopped. Before that, the request may have been queued at an endpoint without a
   * free slot.
   */
  private isInconclusive(endpointId: string, result: SendResult): boolean {
    if (result.kind !== 'ended' || !('isSilence' in result.outcome)) return false;
    const hasBegun = result.outcome.kind === 'brokeOff';
    this.options.onTimeout(hasBegun ? 'begun' : 'notBegun');
    return hasBegun || this.mayBeQueued(endpointId);
  }

  private eject(endpointId: string): void {
    const nowMs = this.options.nowMs();
    for (let failure = 0; failure < FAILURES_BEFORE_EJECTION; failure += 1) {
      this.directory.failed(endpointId, nowMs);
    }
  }

  private changeLoad(endpointId: string, kind: 'online' | 'batch', by: 1 | -1): void {
    if (by === 1) this.startRate.record(this.options.nowMs());
    this.loads.recordChange(endpointId, kind, by);
    this.options.onLoadChange(endpointId);
  }

  /** Whether the entries that share the endpoints may not have reported their loads yet. */
  private get areLoadsUnknown(): boolean {
    return this.options.nowMs() - this.startedAtMs < LOADS_UNKNOWN_MS;
  }

  /**
   * Returns the online requests at an endpoint. Until the other entries have reported theirs, each
   * is assumed to have as many as this one. Without this, entries that all restarted in a peak took
   * the endpoints to be idle and sent 560 requests to 224 slots in 0.8 s, and later requests waited
   * 0.45 s behind them.
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

/** Returns whether the connection was refused because no process listens on the port. */
function isConnectionRefused(result: SendResult): boolean {
  if (result.kind !== 'ended' || result.outcome.kind !== 'notSent') return false;
  return result.outcome.reason === CONNECTION_REFUSED;
}

function isMisdirected(result: SendResult): boolean {
  if (result.kind !== 'ended' || result.outcome.kind !== 'refused') return false;
  return result.outcome.status === MISDIRECTED_STATUS;
}

function announcementOf(heartbeat: EndpointHeartbeat, leaving: boolean): Announcement {
  return {
    endpointId: runIdOf(heartbeat),
    // The id is already unique to the incarnation.
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
