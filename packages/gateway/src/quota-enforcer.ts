/**
 * Enforces the rate limits of workspaces: admits requests at once far below the limit, otherwise
 * asks the control process that counts the workspace's requests, or decides locally if none is
 * reachable.
 */
import type { Workspace } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import type { QuotaAnswer, QuotaTerms, QuotaTolerance } from '@shedline/quota';
import { RequestShare } from '@shedline/quota';
import type { PeerConnections, PeerClient } from '@shedline/transport';
import { rendezvousOrder } from '@shedline/types';
import type { PeriodicTasks } from './periodic-tasks.js';

/**
 * Time for which admitted requests are collected into one report. At ten times the limit, as
 * many requests are admitted in this time as the limit permits in half a second; that is less than
 * the part of a burst that is left when entries begin to request grants; see `RequestLedger`.
 */
const REPORT_AFTER_MS = 50;
/**
 * Ticks (of 500 ms) between checks whether a count has moved to another process, which then needs
 * reports of earlier usage.
 */
const TICKS_PER_CHECK = 1;
/**
 * Maximum wait for a counter: callers' latency targets are some 300 ms, which an unresponsive
 * counter must not use up.
 */
const COUNTER_TIMEOUT_MS = 120;
/** Time for which a counter that did not reply is not asked again. */
const UNRESPONSIVE_AVOIDANCE_MS = 500;
/**
 * Retry delay for callers that this entry cannot admit without a counter; they should try another
 * entry.
 */
const LOCAL_RETRY_MS = 300;

/** Response to a request that is not admitted: 429 if over the limit, 503 if that is unknown. */
export interface QuotaRefusal {
  readonly mayPass: false;
  readonly status: 429 | 503;
  readonly retryAfterMs: number;
}

/** Whether a request is admitted. */
export type QuotaVerdict = { readonly mayPass: true } | QuotaRefusal;

/** Options of {@link QuotaEnforcer}. */
export interface QuotaEnforcerOptions {
  /** Name of this entry. */
  readonly self: string;
  readonly tolerance: QuotaTolerance;
  /** Connections to the control processes, each of which counts the requests of some workspaces. */
  readonly controls: Pick<PeerConnections, 'ready'>;
  /** Returns the number of entries that are known to be up. */
  readonly entryCount: () => number;
  /** Runs the checks. */
  readonly tasks: PeriodicTasks;
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** A request that waits for the counter's reply. */
interface PendingRequest {
  readonly terms: QuotaTerms;
  readonly resolve: (verdict: QuotaVerdict) => void;
}

/** Enforces rate limits at one entry. */
export class QuotaEnforcer {
  private readonly options: QuotaEnforcerOptions;
  private readonly share: RequestShare;
  /** Requests that wait while an earlier call to the counter is pending, by workspace. */
  private readonly waiting = new Map<string, PendingRequest[]>();
  private readonly avoidUntilMs = new Map<string, number>();
  private counterByWorkspace = new Map<string, PeerClient>();
  private counterNames = '';
  private reportTimer: NodeJS.Timeout | undefined;
  private stopChecks: (() => void) | undefined;

  constructor(options: QuotaEnforcerOptions) {
    this.options = options;
    const { self, tolerance } = options;
    this.share = new RequestShare({ self, tolerance });
  }

  /** Starts the periodic checks and reports. */
  start(): void {
    this.stopChecks = this.options.tasks.add({
      everyTicks: TICKS_PER_CHECK,
      run: () => {
        this.share.recordEntryCount(this.options.entryCount());
        this.share.removeIdle(this.options.nowMs());
        this.sendReports();
      },
    });
  }

  /** Sends the last report and stops. */
  stop(): void {
    this.stopChecks?.();
    clearTimeout(this.reportTimer);
    this.sendReports();
  }

  /** Notes workspaces that a control process reported as near their limits. */
  markNearLimit(workspaces: readonly string[]): void {
    this.share.updateNearLimit(workspaces, this.options.nowMs());
  }

  /** Decides on a request of a workspace, and counts it if it is admitted. */
  admit(workspace: Workspace, version: number): QuotaVerdict | Promise<QuotaVerdict> {
    const { name, limit } = workspace;
    if (limit === undefined) return { mayPass: true };
    const terms = { ...limit, version };
    const mode = this.share.modeOf(name, this.counterOf(name) !== undefined, this.options.nowMs());
    if (mode === 'open') return this.pass(name, terms, mode);
    if (mode === 'alone') return this.decideLocally(name, terms);
    return this.requestFromCounter(name, terms);
  }

  /**
   * Refunds an admitted request that was refused as not executed; its next attempt counts again.
   */
  refund({ name, limit }: Workspace, version: number): void {
    if (limit === undefined) return;
    this.share.recordReturned(name, { ...limit, version }, this.options.nowMs());
    this.scheduleReport();
  }

  private pass(name: string, terms: QuotaTerms, mode: 'open' | 'alone' | 'ask'): QuotaVerdict {
    const isCounted = mode === 'ask';
    this.share.recordAdmitted(name, terms, { isCounted, nowMs: this.options.nowMs() });
    if (!isCounted) this.scheduleReport();
    this.options.metrics.count('shedline_quota_passes_total', { way: mode });
    return { mayPass: true };
  }

  private decideLocally(name: string, terms: QuotaTerms): QuotaVerdict {
    if (this.share.mayAdmitAlone(name, terms, this.options.nowMs())) {
      return this.pass(name, terms, 'alone');
    }
    return { mayPass: false, status: 503, retryAfterMs: LOCAL_RETRY_MS };
  }

  /**
   * Calls the counter once at a time per workspace; each call covers all requests that have
   * arrived.
   */
  private requestFromCounter(name: string, terms: QuotaTerms): Promise<QuotaVerdict> {
    return new Promise((resolve) => {
      const queue = this.waiting.get(name);
      if (queue !== undefined) {
        queue.push({ terms, resolve });
        return;
      }
      this.waiting.set(name, []);
      void this.resolveBatch(name, [{ terms, resolve }]);
    });
  }

  private async resolveBatch(name: string, requests: readonly PendingRequest[]): Promise<void> {
    const answer = await this.callCounter(name, requests);
    requests.forEach(({ terms, resolve }, position) => {
      resolve(
        answer === undefined
          ? this.decideLocally(name, terms)
          : this.verdictFor(name, terms, answer, position),
      );
    });
    const next = this.waiting.get(name) ?? [];
    this.waiting.delete(name);
    if (next.length === 0) return;
    this.waiting.set(name, []);
    void this.resolveBatch(name, next);
  }

  private verdictFor(
    name: string,
    terms: QuotaTerms,
    { granted, roomInMs, spacingMs }: QuotaAnswer,
    position: number,
  ): QuotaVerdict {
    if (position < granted) return this.pass(name, terms, 'ask');
    const retryAfterMs = Math.ceil(roomInMs + (position - granted) * spacingMs);
    return { mayPass: false, status: 429, retryAfterMs };
  }

  /** Returns the counter's reply; undefined if no counter is reachable or the call fails. */
  private async callCounter(
    workspace: string,
    requests: readonly PendingRequest[],
  ): Promise<QuotaAnswer | undefined> {
    const counter = this.counterOf(workspace);
    const terms = requests.at(-1)?.terms;
    if (counter === undefined || terms === undefined) return undefined;
    try {
      const request = { workspace, terms, wanted: requests.length };
      return (await counter.request('quotaAsk', request, COUNTER_TIMEOUT_MS)) as QuotaAnswer;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const peer = counter.peerName;
      this.avoidUntilMs.set(peer, this.options.nowMs() + UNRESPONSIVE_AVOIDANCE_MS);
      this.options.logger.info('no reply from quota counter', {
        step: 'quota',
        peer,
        workspace,
        reason,
      });
      return undefined;
    }
  }

  private scheduleReport(): void {
    this.reportTimer ??= setTimeout(() => {
      this.reportTimer = undefined;
      this.sendReports();
    }, REPORT_AFTER_MS);
  }

  private sendReports(): void {
    const { controls, nowMs } = this.options;
    const reports = this.share.takeReports((name) => this.counterOf(name)?.peerName, nowMs());
    if (reports.size === 0) return;
    for (const control of controls.ready) {
      const controlReports = reports.get(control.peerName);
      if (controlReports !== undefined) control.send('quotaUse', controlReports);
    }
  }

  /**
   * Returns the control process that counts the requests of a workspace, by rendezvous hash: the
   * same one for all entries that reach the same control processes. Undefined if none is reachable.
   */
  private counterOf(workspace: string): PeerClient | undefined {
    const nowMs = this.options.nowMs();
    const reachable = this.options.controls.ready.filter(
      ({ peerName }) => (this.avoidUntilMs.get(peerName) ?? -Infinity) <= nowMs,
    );
    const names = reachable.map(({ peerName }) => peerName);
    const key = names.join();
    if (key !== this.counterNames) {
      this.counterNames = key;
      this.counterByWorkspace = new Map();
    }
    const known = this.counterByWorkspace.get(workspace);
    if (known !== undefined) return known;
    const chosen = rendezvousOrder(`quota|${workspace}`, names, 1)[0];
    const counter = reachable.find(({ peerName }) => peerName === chosen);
    if (counter !== undefined) this.counterByWorkspace.set(workspace, counter);
    return counter;
  }
}
