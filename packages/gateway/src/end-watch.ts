/**
 * Finds out whether an endpoint has ended after a send to it broke off. A broken connection alone may
 * have been reset on its way; a port that is closed, or a later run under the same id, says more. An endpoint
 * that said beforehand that it leaves has not ended under anything, and one that falls silent may be cut off.
 */
import type { ListeningProbe } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';

/**
 * Time after a break for which a later run still tells that the endpoint had ended: one that restarts is
 * heard of 2 to 4 s later.
 */
const RESTART_EVIDENCE_MS = 10_000;
/** Time for which an end that was found out is not looked for again; its sends break within ms. */
const KNOWN_END_MS = 1000;

/** Options of {@link EndWatch}. */
export interface EndWatchOptions {
  readonly probe: ListeningProbe;
  /** Whether a run of an endpoint has said that it leaves. */
  readonly isLeaving: (endpointId: string) => boolean;
  /** Told once of each end that was found out. */
  readonly onEnded: (endpointId: string) => void;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

interface Suspicion {
  readonly sinceMs: number;
  readonly whenEnded: (() => void)[];
}

/** Runs of endpoints whose sends broke off; by the id of the run. */
export class EndWatch {
  private readonly options: EndWatchOptions;
  private readonly looks = new Map<string, Promise<boolean>>();
  private readonly endedAtMs = new Map<string, number>();
  private readonly suspicions = new Map<string, Suspicion>();

  constructor(options: EndWatchOptions) {
    this.options = options;
  }

  /** Whether an endpoint has ended, as far as a look at its port tells now. */
  hasEnded(endpointId: string, address: string): Promise<boolean> {
    if (this.isKnownEnd(endpointId)) return Promise.resolve(true);
    if (this.options.isLeaving(endpointId)) return Promise.resolve(false);
    const under = this.looks.get(endpointId);
    if (under !== undefined) return under;
    const look = this.look(endpointId, address).finally(() => this.looks.delete(endpointId));
    this.looks.set(endpointId, look);
    return look;
  }

  /** Calls `then` once if the endpoint has ended, or turns out to have by its next run. */
  async whenEnded(endpointId: string, address: string, then: () => void): Promise<void> {
    if (await this.hasEnded(endpointId, address)) {
      then();
      return;
    }
    if (this.options.isLeaving(endpointId)) return;
    const sinceMs = this.options.nowMs();
    const known = this.suspicions.get(endpointId);
    if (known === undefined) this.suspicions.set(endpointId, { sinceMs, whenEnded: [then] });
    else known.whenEnded.push(then);
  }

  /** A later run of the endpoint is up. */
  hasRestarted(endpointId: string): void {
    const suspicion = this.suspicions.get(endpointId);
    if (suspicion === undefined) return;
    this.noteEnd(endpointId, 'later run');
    this.suspicions.delete(endpointId);
    for (const then of suspicion.whenEnded) then();
  }

  /** Forgets what nothing came of. */
  sweep(): void {
    const nowMs = this.options.nowMs();
    for (const [endpointId, { sinceMs }] of this.suspicions) {
      if (nowMs - sinceMs > RESTART_EVIDENCE_MS) this.suspicions.delete(endpointId);
    }
    for (const [endpointId, atMs] of this.endedAtMs) {
      if (nowMs - atMs > KNOWN_END_MS) this.endedAtMs.delete(endpointId);
    }
  }

  private isKnownEnd(endpointId: string): boolean {
    const atMs = this.endedAtMs.get(endpointId);
    return atMs !== undefined && this.options.nowMs() - atMs <= KNOWN_END_MS;
  }

  private async look(endpointId: string, address: string): Promise<boolean> {
    const state = await this.options.probe.look(address);
    // It may have said that it leaves, and gone, while this entry looked.
    if (state !== 'closed' || this.options.isLeaving(endpointId)) return false;
    this.noteEnd(endpointId, 'closed port');
    return true;
  }

  private noteEnd(endpointId: string, evidence: 'closed port' | 'later run'): void {
    this.endedAtMs.set(endpointId, this.options.nowMs());
    this.options.logger.info('endpoint has ended', {
      step: 'endpoint',
      endpoint: endpointId,
      evidence,
    });
    this.options.onEnded(endpointId);
  }
}
