/**
 * What an entry knows of the endpoints: announcements with leases, incarnations, suspicion
 * and ejection. Ages travel with announcements, so no wall clock of another is trusted.
 */
import type { Announcement } from '@shedline/types';
import type { LeaseClock } from './lease-clock.js';

/** Options of {@link EndpointDirectory}. */
export interface EndpointDirectoryOptions {
  /** Time that an announcement is good for. */
  readonly leaseMs?: number;
  /** Time over which a new endpoint takes its full share. */
  readonly slowStartMs?: number;
  /** Share of the endpoints of one pool that may be ejected at once. */
  readonly maxEjectedShare?: number;
  /** Failures in a row that eject an endpoint. */
  readonly failuresToEject?: number;
  readonly firstEjectionMs?: number;
  /** First-token latency, as a multiple of the pool's median, that ejects an endpoint. */
  readonly slowFactor?: number;
  /** Clock by which leases run out; the steady clock where it is left out. */
  readonly leaseClock?: Pick<LeaseClock, 'at'>;
}

const MAX_EJECTION_MS = 30_000;
const LATENCY_SMOOTHING = 0.2;
const MIN_LATENCY_SAMPLES = 8;
const MIN_SLOW_START_SHARE = 0.1;
/** Time that an endpoint is remembered after its lease ran out, so that old words stay old. */
const FORGET_AFTER_MS = 600_000;
/** A lapse this short, seen by a request that failed, asks for a probe. */
const DEFAULT_OPTIONS: Required<EndpointDirectoryOptions> = {
  leaseMs: 3000,
  slowStartMs: 5000,
  maxEjectedShare: 0.34,
  failuresToEject: 3,
  firstEjectionMs: 1000,
  slowFactor: 4,
  leaseClock: { at: (nowMs) => nowMs },
};

/** The short form of a heartbeat. */
export interface Heartbeat {
  readonly endpointId: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
}

/** An endpoint as an entry knows it. */
export interface KnownEndpoint {
  readonly announcement: Announcement;
  /** Time on the clock of leases at which the announcement was made. */
  readonly announcedAtMs: number;
  /** Time at which this incarnation was first heard of. */
  readonly firstHeardAtMs: number;
}

interface Entry {
  announcement: Announcement;
  announcedAtMs: number;
  firstHeardAtMs: number;
  failuresInRow: number;
  ejectedUntilMs: number;
  /** On the clock of leases: its process has ended, and it was not heard since. */
  endedAtMs: number;
  ejections: number;
  probing: boolean;
  latencyMs: number;
  latencySamples: number;
}

/** Endpoints with their leases. */
export class EndpointDirectory {
  private readonly options: Required<EndpointDirectoryOptions>;
  private readonly entries = new Map<string, Entry>();

  constructor(options: EndpointDirectoryOptions = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
  }

  /** Endpoints remembered, with or without a lease. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Takes an announcement that was made `ageMs` ago. False where something newer is known.
   * Once an incarnation has said that it leaves, nothing brings that incarnation back.
   */
  observe(announcement: Announcement, ageMs: number, nowMs: number): boolean {
    const known = this.entries.get(announcement.endpointId);
    if (known !== undefined && !isNewer(announcement, known.announcement)) return false;
    const announcedAtMs = this.options.leaseClock.at(nowMs) - ageMs;
    if (known?.announcement.incarnation !== announcement.incarnation) {
      this.entries.set(announcement.endpointId, freshEntry(announcement, announcedAtMs));
      return true;
    }
    const leaving = known.announcement.leaving || announcement.leaving;
    known.announcement = { ...announcement, leaving };
    known.announcedAtMs = Math.max(known.announcedAtMs, announcedAtMs);
    return true;
  }

  /**
   * Takes the short form of a heartbeat, which tells only what changes from one to the next.
   * False where something newer, or not this incarnation, is known.
   */
  beat(beat: Heartbeat, ageMs: number, nowMs: number): boolean {
    const known = this.entries.get(beat.endpointId)?.announcement;
    if (known?.incarnation !== beat.incarnation) return false;
    const load = { running: beat.running, waiting: beat.waiting, capacity: known.load.capacity };
    return this.observe({ ...known, sequence: beat.sequence, load }, ageMs, nowMs);
  }

  /** Time since an endpoint was announced, on the clock of leases. */
  ageMs({ announcedAtMs }: Pick<KnownEndpoint, 'announcedAtMs'>, nowMs: number): number {
    return this.options.leaseClock.at(nowMs) - announcedAtMs;
  }

  /** An endpoint by id. */
  get(endpointId: string): KnownEndpoint | undefined {
    return this.entries.get(endpointId);
  }

  /** Whether new work may go to an endpoint. */
  isUsable(endpointId: string, nowMs: number): boolean {
    const entry = this.entries.get(endpointId);
    return entry !== undefined && this.hasLease(entry, nowMs) && this.isAdmitted(entry, nowMs);
  }

  /** Endpoints that new work for a model may go to. */
  forModel(model: string, nowMs: number): KnownEndpoint[] {
    return this.usable(nowMs, (announcement) => announcement.models.includes(model));
  }

  /** Endpoints that new work for a plain service may go to. */
  forService(service: string, nowMs: number): KnownEndpoint[] {
    return this.usable(nowMs, (announcement) => announcement.services.includes(service));
  }

  /** One endpoint, if new work for a plain service may go to it. */
  oneForService(endpointId: string, service: string, nowMs: number): KnownEndpoint | undefined {
    const entry = this.entries.get(endpointId);
    if (entry?.announcement.services.includes(service) !== true) return undefined;
    return this.hasLease(entry, nowMs) && this.isAdmitted(entry, nowMs) ? entry : undefined;
  }

  /** All endpoints that hold their lease, whether or not they take new work. */
  live(nowMs: number): KnownEndpoint[] {
    return [...this.entries.values()].filter(
      (entry) => this.ageMs(entry, nowMs) < this.options.leaseMs,
    );
  }

  /** Share of its full load that a newcomer takes, from a tenth to one. */
  slowStartShare(endpointId: string, nowMs: number): number {
    const entry = this.entries.get(endpointId);
    if (entry === undefined) return MIN_SLOW_START_SHARE;
    const share = (nowMs - entry.firstHeardAtMs) / this.options.slowStartMs;
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, share));
  }

  /** Notes a request that went well, with its first-token latency where it has one. */
  succeeded(endpointId: string, latencyMs: number | undefined, nowMs: number): void {
    const entry = this.entries.get(endpointId);
    if (entry === undefined) return;
    // Requests sent before the ejection may still end well; they do not undo it.
    if (nowMs < entry.ejectedUntilMs) return;
    entry.failuresInRow = 0;
    entry.probing = false;
    entry.ejections = 0;
    if (latencyMs === undefined) return;
    const weight = entry.latencySamples === 0 ? 1 : LATENCY_SMOOTHING;
    entry.latencyMs += weight * (latencyMs - entry.latencyMs);
    entry.latencySamples += 1;
    if (this.isSlow(entry, nowMs)) this.eject(entry, nowMs);
  }

  /** Notes a request that the endpoint failed. */
  failed(endpointId: string, nowMs: number): void {
    const entry = this.entries.get(endpointId);
    if (entry === undefined) return;
    entry.failuresInRow += 1;
    const probeFailed = entry.probing;
    entry.probing = false;
    if (probeFailed || entry.failuresInRow >= this.options.failuresToEject)
      this.eject(entry, nowMs);
  }

  /**
   * Notes that the process of an endpoint has ended: it takes nothing until it is heard again, however many
   * others are out. Ejected for 0.8 s, and not at all beyond a third, 12 endpoints of which 5 had ended drew
   * 141 sends in 3 s to closed ports, and requests were refused though others were up.
   */
  ended(endpointId: string, nowMs: number): void {
    const entry = this.entries.get(endpointId);
    if (entry !== undefined) entry.endedAtMs = this.options.leaseClock.at(nowMs);
  }

  /** Notes that a request went out; after an ejection it is the one probe. */
  sent(endpointId: string): void {
    const entry = this.entries.get(endpointId);
    if (entry !== undefined && entry.ejections > 0) entry.probing = true;
  }

  /** Notes that the answer to a request has begun: a probe that long is not waited for to its end. */
  answers(endpointId: string): void {
    this.inconclusive(endpointId);
  }

  /** Notes that a probe ended without telling anything, as when its caller went away. */
  inconclusive(endpointId: string): void {
    const entry = this.entries.get(endpointId);
    if (entry !== undefined) entry.probing = false;
  }

  /** Forgets an endpoint that is known to be gone. */
  forget(endpointId: string): void {
    this.entries.delete(endpointId);
  }

  /** Forgets endpoints that have long been silent. */
  forgetSilent(nowMs: number): void {
    for (const [endpointId, entry] of this.entries) {
      if (this.ageMs(entry, nowMs) > FORGET_AFTER_MS) this.entries.delete(endpointId);
    }
  }

  private usable(nowMs: number, serves: (announcement: Announcement) => boolean): KnownEndpoint[] {
    const pool = [...this.entries.values()].filter(
      (entry) => this.hasLease(entry, nowMs) && serves(entry.announcement),
    );
    return pool.filter((entry) => this.isAdmitted(entry, nowMs));
  }

  private hasLease(entry: Entry, nowMs: number): boolean {
    if (entry.announcement.leaving) return false;
    return this.ageMs(entry, nowMs) < this.options.leaseMs;
  }

  /** An ejected endpoint takes nothing; after that one request at a time until one succeeds. */
  private isAdmitted(entry: Entry, nowMs: number): boolean {
    if (nowMs < entry.ejectedUntilMs || entry.endedAtMs >= entry.announcedAtMs) return false;
    return !(entry.ejections > 0 && entry.probing);
  }

  private poolOf(entry: Entry, nowMs: number): Entry[] {
    const { models, services } = entry.announcement;
    return [...this.entries.values()].filter(
      (other) =>
        this.hasLease(other, nowMs) &&
        (other.announcement.models.some((model) => models.includes(model)) ||
          other.announcement.services.some((service) => services.includes(service))),
    );
  }

  private isSlow(entry: Entry, nowMs: number): boolean {
    if (entry.latencySamples < MIN_LATENCY_SAMPLES) return false;
    const others = this.poolOf(entry, nowMs).filter(
      (other) => other !== entry && other.latencySamples >= MIN_LATENCY_SAMPLES,
    );
    if (others.length < 2) return false;
    const sorted = others.map((other) => other.latencyMs).sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    return entry.latencyMs > median * this.options.slowFactor;
  }

  private eject(entry: Entry, nowMs: number): void {
    const pool = this.poolOf(entry, nowMs);
    const ejected = pool.filter(
      (other) => other !== entry && !this.isAdmitted(other, nowMs),
    ).length;
    // With too many out, the trouble is not the endpoint's own: keep using it.
    if (ejected + 1 > pool.length * this.options.maxEjectedShare) return;
    entry.ejections += 1;
    const ejectionMs = this.options.firstEjectionMs * 2 ** (entry.ejections - 1);
    entry.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, ejectionMs);
    entry.failuresInRow = 0;
    entry.latencySamples = 0;
  }
}

function isNewer(announcement: Announcement, known: Announcement): boolean {
  if (announcement.incarnation !== known.incarnation) {
    return announcement.incarnation > known.incarnation;
  }
  return announcement.sequence > known.sequence;
}

function freshEntry(announcement: Announcement, announcedAtMs: number): Entry {
  return {
    announcement,
    announcedAtMs,
    firstHeardAtMs: announcedAtMs,
    failuresInRow: 0,
    ejectedUntilMs: 0,
    endedAtMs: -Infinity,
    ejections: 0,
    probing: false,
    latencyMs: 0,
    latencySamples: 0,
  };
}
