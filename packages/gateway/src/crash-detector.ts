/**
 * Detects endpoint crashes after a response breaks. A broken connection alone is no evidence, since
 * it may have been reset in the network; a closed port is, and so is a new incarnation with the
 * same id. An endpoint that announced that it drains has not crashed, and an unresponsive one may
 * be partitioned.
 *
 * A response without a length needs more: it is whole only if its endpoint did not end during it,
 * and the address of an endpoint that ended may be in use again before its port is probed.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { endpointIdOf } from '@shedline/fleet';
import type { IdentityProbe, ListeningProbe } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';

/**
 * Time after a broken response for which a new incarnation counts as evidence of a crash. The first
 * heartbeat of a restarted endpoint arrives 2 to 4 s later.
 */
const RESTART_EVIDENCE_MS = 10_000;
/**
 * Time between the end of a connection and the probe. A process that ends may close its connections
 * some milliseconds before its port.
 */
const PROBE_DELAY_MS = 30;
/** Time for which a detected crash is not probed again; all its connections break within ms. */
const KNOWN_CRASH_MS = 1000;
/**
 * Maximum time between the ends of two responses that broke off because their endpoint ended, as
 * noticed by one entry beside other work.
 */
const SAME_END_MS = 50;

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly probe: ListeningProbe;
  readonly identityProbe: IdentityProbe;
  /** Path of the health check of an incarnation; undefined if it is no longer known. */
  readonly healthPathOf: (endpointId: string) => string | undefined;
  /** Whether an incarnation of an endpoint has announced that it drains. */
  readonly isLeaving: (endpointId: string) => boolean;
  /** Called once for each detected crash. */
  readonly onCrashed: (endpointId: string) => void;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Broken responses of an endpoint whose crash is not confirmed. */
interface Suspicion {
  readonly sinceMs: number;
  readonly onCrashed: (() => void)[];
}

/** Tracks endpoints with broken responses, by run id. */
export class CrashDetector {
  private readonly options: CrashDetectorOptions;
  private readonly probes = new Map<string, Promise<boolean>>();
  private readonly crashedAtMs = new Map<string, number>();
  private readonly suspicions = new Map<string, Suspicion>();
  /** Times of the latest broken response of each endpoint. */
  private readonly brokenAtMs = new Map<string, number>();

  constructor(options: CrashDetectorOptions) {
    this.options = options;
  }

  /** Returns whether an endpoint has crashed, according to a probe of its port. */
  hasCrashed(endpointId: string, address: string): Promise<boolean> {
    if (this.isKnownCrash(endpointId)) return Promise.resolve(true);
    if (this.options.isLeaving(endpointId)) return Promise.resolve(false);
    const pending = this.probes.get(endpointId);
    if (pending !== undefined) return pending;
    const probe = this.probePort(endpointId, address).finally(() => this.probes.delete(endpointId));
    this.probes.set(endpointId, probe);
    return probe;
  }

  /** Notes that an endpoint broke off a response that had begun. */
  noteBrokenResponse(endpointId: string): void {
    this.brokenAtMs.set(endpointId, this.options.nowMs());
  }

  /**
   * Returns whether an endpoint ended during a response without a length, whose connection has just
   * closed in order: its port is closed, another endpoint listens there, or another of its responses
   * broke off at the same time. An endpoint that drains may stop as soon as its last response is
   * complete, so only broken responses count against it.
   */
  async endedDuringResponse(endpointId: string, address: string): Promise<boolean> {
    const closedAtMs = this.options.nowMs();
    if (this.options.isLeaving(endpointId)) await pause(PROBE_DELAY_MS);
    else if (await this.hasCrashed(endpointId, address)) return true;
    if (this.hasBrokenResponseSince(endpointId, closedAtMs - SAME_END_MS)) {
      this.logTruncated(endpointId, 'broken responses');
      return true;
    }
    if (this.options.isLeaving(endpointId)) return false;
    return this.isReplaced(endpointId, address);
  }

  /**
   * Calls `then` once if the endpoint has crashed, now or when its next incarnation shows that it
   * had.
   */
  async whenCrashed(endpointId: string, address: string, then: () => void): Promise<void> {
    if (await this.hasCrashed(endpointId, address)) {
      then();
      return;
    }
    if (this.options.isLeaving(endpointId)) return;
    const sinceMs = this.options.nowMs();
    const known = this.suspicions.get(endpointId);
    if (known === undefined) this.suspicions.set(endpointId, { sinceMs, onCrashed: [then] });
    else known.onCrashed.push(then);
  }

  /** Notes that a new incarnation of the endpoint is up. */
  noteRestart(endpointId: string): void {
    const suspicion = this.suspicions.get(endpointId);
    if (suspicion === undefined) return;
    this.recordCrash(endpointId, 'later run');
    this.suspicions.delete(endpointId);
    for (const then of suspicion.onCrashed) then();
  }

  /** Removes expired suspicions and crashes. */
  sweep(): void {
    const nowMs = this.options.nowMs();
    for (const [endpointId, { sinceMs }] of this.suspicions) {
      if (nowMs - sinceMs > RESTART_EVIDENCE_MS) this.suspicions.delete(endpointId);
    }
    for (const [endpointId, atMs] of this.crashedAtMs) {
      if (nowMs - atMs > KNOWN_CRASH_MS) this.crashedAtMs.delete(endpointId);
    }
    for (const [endpointId, atMs] of this.brokenAtMs) {
      if (nowMs - atMs > KNOWN_CRASH_MS) this.brokenAtMs.delete(endpointId);
    }
  }

  private hasBrokenResponseSince(endpointId: string, sinceMs: number): boolean {
    return (this.brokenAtMs.get(endpointId) ?? -Infinity) >= sinceMs;
  }

  /** Returns whether another endpoint listens at the address of an endpoint. */
  private async isReplaced(endpointId: string, address: string): Promise<boolean> {
    const { healthPathOf, identityProbe } = this.options;
    const healthPath = healthPathOf(endpointId);
    if (healthPath === undefined) return false;
    const id = await identityProbe.endpointIdAt(address, healthPath);
    if (id === undefined || id === endpointIdOf(endpointId)) return false;
    this.logTruncated(endpointId, 'another endpoint at its address');
    return true;
  }

  private logTruncated(endpointId: string, evidence: string): void {
    this.options.logger.info('endpoint ended during a response without a length', {
      step: 'endpoint',
      endpoint: endpointId,
      evidence,
    });
  }

  private isKnownCrash(endpointId: string): boolean {
    const atMs = this.crashedAtMs.get(endpointId);
    return atMs !== undefined && this.options.nowMs() - atMs <= KNOWN_CRASH_MS;
  }

  private async probePort(endpointId: string, address: string): Promise<boolean> {
    await pause(PROBE_DELAY_MS);
    const state = await this.options.probe.probe(address);
    // The endpoint may have announced that it drains, and stopped, during the probe.
    if (state !== 'closed' || this.options.isLeaving(endpointId)) return false;
    this.recordCrash(endpointId, 'closed port');
    return true;
  }

  private recordCrash(endpointId: string, evidence: 'closed port' | 'later run'): void {
    this.crashedAtMs.set(endpointId, this.options.nowMs());
    this.options.logger.info('endpoint crashed', {
      step: 'endpoint',
      endpoint: endpointId,
      evidence,
    });
    this.options.onCrashed(endpointId);
  }
}
