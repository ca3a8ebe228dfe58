/**
 * Detects endpoint crashes after a response breaks. A broken connection alone is no evidence, since
 * it may have been reset in the network; a closed port is, and so is a new incarnation with the
 * same id. An endpoint that announced that it drains has not crashed, and an unresponsive one may
 * be partitioned.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ListeningProbe } from '@shedline/forwarding';
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

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly probe: ListeningProbe;
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
  /** When incarnations were known to be replaced; a response may be found broken only afterwards. */
  private readonly replacedAtMs = new Map<string, number>();

  constructor(options: CrashDetectorOptions) {
    this.options = options;
  }

  /** Returns whether an endpoint has crashed, according to a probe of its port. */
  hasCrashed(endpointId: string, address: string): Promise<boolean> {
    if (this.isKnownCrash(endpointId)) return Promise.resolve(true);
    if (this.options.isLeaving(endpointId)) return Promise.resolve(false);
    if (this.replacedAtMs.has(endpointId)) {
      this.recordCrash(endpointId, 'later run');
      return Promise.resolve(true);
    }
    const pending = this.probes.get(endpointId);
    if (pending !== undefined) return pending;
    const probe = this.probePort(endpointId, address).finally(() => this.probes.delete(endpointId));
    this.probes.set(endpointId, probe);
    return probe;
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
    this.replacedAtMs.set(endpointId, this.options.nowMs());
    const suspicion = this.suspicions.get(endpointId);
    if (suspicion === undefined) return;
    this.recordCrash(endpointId, 'later run');
    this.suspicions.delete(endpointId);
    for (const then of suspicion.onCrashed) then();
  }

  /** Removes expired suspicions, replacements and crashes. */
  sweep(): void {
    const nowMs = this.options.nowMs();
    for (const [endpointId, { sinceMs }] of this.suspicions) {
      if (nowMs - sinceMs > RESTART_EVIDENCE_MS) this.suspicions.delete(endpointId);
    }
    for (const [endpointId, atMs] of this.replacedAtMs) {
      if (nowMs - atMs > RESTART_EVIDENCE_MS) this.replacedAtMs.delete(endpointId);
    }
    for (const [endpointId, atMs] of this.crashedAtMs) {
      if (nowMs - atMs > KNOWN_CRASH_MS) this.crashedAtMs.delete(endpointId);
    }
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
