/**
 * An entry's view of the endpoints: announcements with leases, incarnations, outlier ejection and
 * slow start. Announcements carry their age, so the wall clock of another process is never trusted.
 */
import type { Announcement } from '@shedline/types';
import type { LeaseClock } from './lease-clock.js';

/** Options of {@link EndpointDirectory}. */
export interface EndpointDirectoryOptions {
  /** Time for which an announcement is valid. */
  readonly leaseMs?: number;
  /** Time after which a new endpoint receives its full share of requests. */
  readonly slowStartMs?: number;
  /** Share of the endpoints of one pool that may be ejected at once. */
  readonly maxEjectedShare?: number;
  /** Consecutive failures that eject an endpoint. */
  readonly failuresToEject?: number;
  readonly firstEjectionMs?: number;
  /** First-token latency, as a multiple of the pool's median, above which an endpoint is ejected. */
  readonly slowFactor?: number;
  /** Clock by which leases expire; the steady clock if omitted. */
  readonly leaseClock?: Pick<LeaseClock, 'at'>;
}

const MAX_EJECTION_MS = 30_000;
const LATENCY_SMOOTHING = 0.2;
const MIN_LATENCY_SAMPLES = 8;
const MIN_SLOW_START_SHARE = 0.1;
/**
 * Time for which an endpoint is kept after its announcement, so that stale announcements are still
 * recognised as older.
 */
const REMOVE_AFTER_MS = 600_000;
const DEFAULT_OPTIONS: Required<EndpointDirectoryOptions> = {
  leaseMs: 3000,
  slowStartMs: 5000,
  maxEjectedShare: 0.34,
  failuresToEject: 3,
  firstEjectionMs: 1000,
  slowFactor: 4,
  leaseClock: { at: (nowMs) => nowMs },
};

/** A heartbeat with only the fields that change between heartbeats. */
export interface Heartbeat {
  readonly endpointId: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
}

/** An endpoint as known to this entry. */
export interface KnownEndpoint {
  readonly announcement: Announcement;
  /** Time of the announcement, on the lease clock. */
  readonly announcedAtMs: number;
  /** Time at which this incarnation was first announced, on the lease clock. */
  readonly firstSeenAtMs: number;
}

interface EndpointRecord {
  announcement: Announcement;
  announcedAtMs: number;
  firstSeenAtMs: number;
  consecutiveFailures: number;
  ejectedUntilMs: number;
  /** Time at which the process ended, on the lease clock; a later announcement overrides it. */
  processEndedAtMs: number;
  /** Ejections since the last success; each doubles the ejection time. */
  ejections: number;
  /** Whether a probe is in flight, during which no other request is sent. */
  isProbing: boolean;
  /** Moving average of the first-token latency. */
  latencyMs: number;
  latencySamples: number;
}

/** The endpoints with their leases and health. */
export class EndpointDirectory {
  private readonly options: Required<EndpointDirectoryOptions>;
  private readonly records = new Map<string, EndpointRecord>();

  constructor(options: EndpointDirectoryOptions = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
  }

  /** Number of known endpoints, with or without a lease. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Applies an announcement that was made `ageMs` ago. Returns false if a newer announcement is
   * known. An incarnation that has announced that it drains never becomes usable again.
   */
  observe(announcement: Announcement, ageMs: number, nowMs: number): boolean {
    const known = this.records.get(announcement.endpointId);
    if (known !== undefined && !isNewer(announcement, known.announcement)) return false;
    const announcedAtMs = this.options.leaseClock.at(nowMs) - ageMs;
    if (known?.announcement.incarnation !== announcement.incarnation) {
      this.records.set(announcement.endpointId, newRecord(announcement, announcedAtMs));
      return true;
    }
    const leaving = known.announcement.leaving || announcement.leaving;
    known.announcement = { ...announcement, leaving };
    known.announcedAtMs = Math.max(known.announcedAtMs, announcedAtMs);
    return true;
  }

  /**
   * Applies a heartbeat, which carries only the fields that change. Returns false if a newer
   * announcement is known, or if this incarnation is not the known one.
   */
  applyHeartbeat(heartbeat: Heartbeat, ageMs: number, nowMs: number): boolean {
    const known = this.records.get(heartbeat.endpointId)?.announcement;
    if (known?.incarnation !== heartbeat.incarnation) return false;
    const load = {
      running: heartbeat.running,
      waiting: heartbeat.waiting,
      capacity: known.load.capacity,
    };
    return this.observe({ ...known, sequence: heartbeat.sequence, load }, ageMs, nowMs);
  }

  /** Returns the time since an endpoint was announced, on the lease clock. */
  ageMs({ announcedAtMs }: Pick<KnownEndpoint, 'announcedAtMs'>, nowMs: number): number {
    return this.options.leaseClock.at(nowMs) - announcedAtMs;
  }

  get(endpointId: string): KnownEndpoint | undefined {
    return this.records.get(endpointId);
  }

  /** Whether new requests may be sent to an endpoint. */
  isUsable(endpointId: string, nowMs: number): boolean {
    const record = this.records.get(endpointId);
    return record !== undefined && this.hasLease(record, nowMs) && this.isAdmitted(record, nowMs);
  }

  /** Returns the endpoints that may receive new requests for a model. */
  forModel(model: string, nowMs: number): KnownEndpoint[] {
    return this.usableEndpoints(nowMs, (announcement) => announcement.models.includes(model));
  }

  /** Returns the endpoints that may receive new requests for a plain service. */
  forService(service: string, nowMs: number): KnownEndpoint[] {
    return this.usableEndpoints(nowMs, (announcement) => announcement.services.includes(service));
  }

  /**
   * Returns the endpoints of a plain service that are up and not draining, including those that are
   * ejected for a time.
   */
  upForService(service: string, nowMs: number): KnownEndpoint[] {
    return [...this.records.values()].filter(
      (record) =>
        record.announcement.services.includes(service) &&
        this.hasLease(record, nowMs) &&
        !hasEnded(record),
    );
  }

  /** Returns an endpoint if it may receive new requests for a plain service. */
  endpointForService(
    endpointId: string,
    service: string,
    nowMs: number,
  ): KnownEndpoint | undefined {
    const record = this.records.get(endpointId);
    if (record?.announcement.services.includes(service) !== true) return undefined;
    return this.hasLease(record, nowMs) && this.isAdmitted(record, nowMs) ? record : undefined;
  }

  /** Returns all endpoints that hold their lease, whether or not they are ejected or draining. */
  live(nowMs: number): KnownEndpoint[] {
    return [...this.records.values()].filter(
      (record) => this.ageMs(record, nowMs) < this.options.leaseMs,
    );
  }

  /** Returns the share of its full load that an endpoint receives in slow start, from 0.1 to 1. */
  slowStartShare(endpointId: string, nowMs: number): number {
    const record = this.records.get(endpointId);
    if (record === undefined) return MIN_SLOW_START_SHARE;
    const share = (nowMs - record.firstSeenAtMs) / this.options.slowStartMs;
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, share));
  }

  /** Records a successful request, with its first-token latency if there is one. */
  succeeded(endpointId: string, latencyMs: number | undefined, nowMs: number): void {
    const record = this.records.get(endpointId);
    if (record === undefined) return;
    // Requests sent before the ejection may still succeed; they do not undo it.
    if (nowMs < record.ejectedUntilMs) return;
    record.consecutiveFailures = 0;
    record.isProbing = false;
    record.ejections = 0;
    if (latencyMs === undefined) return;
    const weight = record.latencySamples === 0 ? 1 : LATENCY_SMOOTHING;
    record.latencyMs += weight * (latencyMs - record.latencyMs);
    record.latencySamples += 1;
    if (this.isSlow(record, nowMs)) this.eject(record, nowMs);
  }

  /** Records a request that the endpoint failed. */
  failed(endpointId: string, nowMs: number): void {
    const record = this.records.get(endpointId);
    if (record === undefined) return;
    record.consecutiveFailures += 1;
    const isFailedProbe = record.isProbing;
    record.isProbing = false;
    if (isFailedProbe || record.consecutiveFailures >= this.options.failuresToEject)
      this.eject(record, nowMs);
  }

  /**
   * Records that the process of an endpoint has ended: it receives no requests until it is
   * announced again, however many others are ejected. The usual ejection does not suffice here:
   * with ejections of 0.8 s and at most a third of the pool ejected, 12 endpoints of which 5 had
   * ended received 141 attempts to closed ports in 3 s, and requests were refused although other
   * endpoints were up.
   */
  ended(endpointId: string, nowMs: number): void {
    const record = this.records.get(endpointId);
    if (record !== undefined) record.processEndedAtMs = this.options.leaseClock.at(nowMs);
  }

  /** Records that a request was sent; after an ejection it is the only probe. */
  sent(endpointId: string): void {
    const record = this.records.get(endpointId);
    if (record !== undefined && record.ejections > 0) record.isProbing = true;
  }

  /** Records that a response has begun; other requests need not wait until a probe completes. */
  responseStarted(endpointId: string): void {
    this.inconclusive(endpointId);
  }

  /** Records that a probe ended without a result, for example because its caller disconnected. */
  inconclusive(endpointId: string): void {
    const record = this.records.get(endpointId);
    if (record !== undefined) record.isProbing = false;
  }

  /** Removes an endpoint that is known to have stopped. */
  remove(endpointId: string): void {
    this.records.delete(endpointId);
  }

  /** Removes endpoints that have not been announced for a long time. */
  forgetExpired(nowMs: number): void {
    for (const [endpointId, record] of this.records) {
      if (this.ageMs(record, nowMs) > REMOVE_AFTER_MS) this.records.delete(endpointId);
    }
  }

  private usableEndpoints(
    nowMs: number,
    serves: (announcement: Announcement) => boolean,
  ): KnownEndpoint[] {
    const pool = [...this.records.values()].filter(
      (record) => this.hasLease(record, nowMs) && serves(record.announcement),
    );
    return pool.filter((record) => this.isAdmitted(record, nowMs));
  }

  private hasLease(record: EndpointRecord, nowMs: number): boolean {
    if (record.announcement.leaving) return false;
    return this.ageMs(record, nowMs) < this.options.leaseMs;
  }

  /**
   * Whether an endpoint is neither ejected nor ended. After an ejection it receives one request at a
   * time until one succeeds.
   */
  private isAdmitted(record: EndpointRecord, nowMs: number): boolean {
    if (nowMs < record.ejectedUntilMs || hasEnded(record)) return false;
    return !(record.ejections > 0 && record.isProbing);
  }

  private poolOf(record: EndpointRecord, nowMs: number): EndpointRecord[] {
    const { models, services } = record.announcement;
    return [...this.records.values()].filter(
      (other) =>
        this.hasLease(other, nowMs) &&
        (other.announcement.models.some((model) => models.includes(model)) ||
          other.announcement.services.some((service) => services.includes(service))),
    );
  }

  private isSlow(record: EndpointRecord, nowMs: number): boolean {
    if (record.latencySamples < MIN_LATENCY_SAMPLES) return false;
    const others = this.poolOf(record, nowMs).filter(
      (other) => other !== record && other.latencySamples >= MIN_LATENCY_SAMPLES,
    );
    if (others.length < 2) return false;
    const sorted = others.map((other) => other.latencyMs).sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    return record.latencyMs > median * this.options.slowFactor;
  }

  private eject(record: EndpointRecord, nowMs: number): void {
    const pool = this.poolOf(record, nowMs);
    const ejected = pool.filter(
      (other) => other !== record && !this.isAdmitted(other, nowMs),
    ).length;
    // With too many endpoints ejected, the cause is not this endpoint: keep using it.
    if (ejected + 1 > pool.length * this.options.maxEjectedShare) return;
    record.ejections += 1;
    const ejectionMs = this.options.firstEjectionMs * 2 ** (record.ejections - 1);
    record.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
    record.consecutiveFailures = 0;
    record.latencySamples = 0;
  }
}

function isNewer(announcement: Announcement, known: Announcement): boolean {
  if (announcement.incarnation !== known.incarnation) {
    return announcement.incarnation > known.incarnation;
  }
  return announcement.sequence > known.sequence;
}

/** Whether the process of an endpoint has ended since its latest announcement. */
function hasEnded({ processEndedAtMs, announcedAtMs }: EndpointRecord): boolean {
  return processEndedAtMs >= announcedAtMs;
}

function newRecord(announcement: Announcement, announcedAtMs: number): EndpointRecord {
  return {
    announcement,
    announcedAtMs,
    firstSeenAtMs: announcedAtMs,
    consecutiveFailures: 0,
    ejectedUntilMs: 0,
    processEndedAtMs: -Infinity,
    ejections: 0,
    isProbing: false,
    latencyMs: 0,
    latencySamples: 0,
  };
}
