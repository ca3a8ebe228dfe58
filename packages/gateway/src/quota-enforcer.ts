/**
 * Keeps the requests of workspaces within their limits: lets them pass, asks the control process that keeps
 * the count of their workspace, or judges alone where none is reached.
 */
import type { Workspace } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import type { QuotaAnswer, QuotaTerms, QuotaTolerance } from '@shedline/quota';
import { RequestShare } from '@shedline/quota';
import type { PeerConnections, PeerClient } from '@shedline/transport';
import { rendezvousOrder } from '@shedline/types';

/**
 * Requests let in are told together after this time. Ten times a limit brings half a second's worth of its rate
 * by then, less than what is left of a burst when entries have to ask; see `RequestLedger`.
 */
const REPORT_AFTER_MS = 50;
/** Time between looks whether another process keeps a count now, which then has to hear what passed before. */
const LOOK_INTERVAL_MS = 500;
/** Longest wait for a keeper: a tenth of what callers count as late is some 30 ms, and a frozen one must not take it all. */
const ASK_TIMEOUT_MS = 120;
/** Time for which a keeper that did not answer is not asked again. */
const AVOID_MS = 500;
/** When a caller should come back, elsewhere, whom this entry can neither let in nor tell when there is room. */
const ALONE_RETRY_MS = 300;

/** What the caller of a request that may not pass is told. 429: over the limit; 503: that is not known. */
export interface QuotaRefusal {
  readonly mayPass: false;
  readonly status: 429 | 503;
  readonly retryAfterMs: number;
}

/** Whether a request may pass. */
export type QuotaVerdict = { readonly mayPass: true } | QuotaRefusal;

/** Options of {@link QuotaEnforcer}. */
export interface QuotaEnforcerOptions {
  /** Name of this entry. */
  readonly self: string;
  readonly tolerance: QuotaTolerance;
  /** Connections to the control processes, one of which keeps the count of each workspace. */
  readonly controls: Pick<PeerConnections, 'ready'>;
  /** Entries that are known to be up. */
  readonly entryCount: () => number;
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

interface Waiter {
  readonly terms: QuotaTerms;
  readonly settle: (verdict: QuotaVerdict) => void;
}

/** Limits as one entry keeps them. */
export class QuotaEnforcer {
  private readonly options: QuotaEnforcerOptions;
  private readonly share: RequestShare;
  /** Requests that wait until the question before theirs is answered, by workspace. */
  private readonly waiting = new Map<string, Waiter[]>();
  private readonly avoidUntilMs = new Map<string, number>();
  private counters = new Map<string, PeerClient>();
  private countersOf = '';
  private report: NodeJS.Timeout | undefined;
  private look: NodeJS.Timeout | undefined;

  constructor(options: QuotaEnforcerOptions) {
    this.options = options;
    const { self, tolerance } = options;
    this.share = new RequestShare({ self, tolerance });
  }

  /** Starts to look after the keepers. */
  start(): void {
    this.look = setInterval(() => {
      this.share.noteEntries(this.options.entryCount());
      this.share.forgetIdle(this.options.nowMs());
      this.tell();
    }, LOOK_INTERVAL_MS);
  }

  /** Tells what was let in last, and ends. */
  stop(): void {
    clearInterval(this.look);
    clearTimeout(this.report);
    this.tell();
  }

  /** A control process says which workspaces are near their limits. */
  hearNear(workspaces: readonly string[]): void {
    this.share.hearNear(workspaces, this.options.nowMs());
  }

  /** Judges a request of a workspace; one that may pass is counted. */
  enter(workspace: Workspace, version: number): QuotaVerdict | Promise<QuotaVerdict> {
    const { name, limit } = workspace;
    if (limit === undefined) return { mayPass: true };
    const terms = { ...limit, version };
    const way = this.share.wayOf(name, this.counterOf(name) !== undefined, this.options.nowMs());
    if (way === 'open') return this.passed(name, terms, way);
    if (way === 'alone') return this.judgeAlone(name, terms);
    return this.ask(name, terms);
  }

  /** A request that was let in has not run, and its caller was told so: its next attempt counts. */
  giveBack({ name, limit }: Workspace, version: number): void {
    if (limit === undefined) return;
    this.share.givenBack(name, { ...limit, version }, this.options.nowMs());
    this.tellSoon();
  }

  private passed(name: string, terms: QuotaTerms, way: 'open' | 'alone' | 'ask'): QuotaVerdict {
    const isCounted = way === 'ask';
    this.share.passed(name, terms, { isCounted, nowMs: this.options.nowMs() });
    if (!isCounted) this.tellSoon();
    this.options.metrics.count('shedline_quota_passes_total', { way });
    return { mayPass: true };
  }

  private judgeAlone(name: string, terms: QuotaTerms): QuotaVerdict {
    if (this.share.mayPassAlone(name, terms, this.options.nowMs())) {
      return this.passed(name, terms, 'alone');
    }
    return { mayPass: false, status: 503, retryAfterMs: ALONE_RETRY_MS };
  }

  /** Questions about one workspace go one after the other, each for all that came meanwhile. */
  private ask(name: string, terms: QuotaTerms): Promise<QuotaVerdict> {
    return new Promise((settle) => {
      const queue = this.waiting.get(name);
      if (queue !== undefined) {
        queue.push({ terms, settle });
        return;
      }
      this.waiting.set(name, []);
      void this.askFor(name, [{ terms, settle }]);
    });
  }

  private async askFor(name: string, waiters: readonly Waiter[]): Promise<void> {
    const answer = await this.question(name, waiters);
    waiters.forEach(({ terms, settle }, place) => {
      settle(
        answer === undefined
          ? this.judgeAlone(name, terms)
          : this.verdict(name, terms, answer, place),
      );
    });
    const next = this.waiting.get(name) ?? [];
    this.waiting.delete(name);
    if (next.length === 0) return;
    this.waiting.set(name, []);
    void this.askFor(name, next);
  }

  private verdict(
    name: string,
    terms: QuotaTerms,
    { granted, roomInMs, spacingMs }: QuotaAnswer,
    place: number,
  ): QuotaVerdict {
    if (place < granted) return this.passed(name, terms, 'ask');
    const retryAfterMs = Math.ceil(roomInMs + (place - granted) * spacingMs);
    return { mayPass: false, status: 429, retryAfterMs };
  }

  /** The keeper's answer; undefined where there is none in time. */
  private async question(
    workspace: string,
    waiters: readonly Waiter[],
  ): Promise<QuotaAnswer | undefined> {
    const counter = this.counterOf(workspace);
    const terms = waiters.at(-1)?.terms;
    if (counter === undefined || terms === undefined) return undefined;
    try {
      const request = { workspace, terms, wanted: waiters.length };
      return (await counter.request('quotaAsk', request, ASK_TIMEOUT_MS)) as QuotaAnswer;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const peer = counter.peerName;
      this.avoidUntilMs.set(peer, this.options.nowMs() + AVOID_MS);
      this.options.logger.info('quota not known', { step: 'quota', peer, workspace, reason });
      return undefined;
    }
  }

  private tellSoon(): void {
    this.report ??= setTimeout(() => {
      this.report = undefined;
      this.tell();
    }, REPORT_AFTER_MS);
  }

  private tell(): void {
    const { controls, nowMs } = this.options;
    const reports = this.share.takeReports((name) => this.counterOf(name)?.peerName, nowMs());
    if (reports.size === 0) return;
    for (const control of controls.ready) {
      const own = reports.get(control.peerName);
      if (own !== undefined) control.send('quotaUse', own);
    }
  }

  /**
   * The control process that keeps the count of a workspace: the same for all entries that reach the same ones.
   * Undefined where none is reached.
   */
  private counterOf(workspace: string): PeerClient | undefined {
    const nowMs = this.options.nowMs();
    const reached = this.options.controls.ready.filter(
      ({ peerName }) => (this.avoidUntilMs.get(peerName) ?? -Infinity) <= nowMs,
    );
    const names = reached.map(({ peerName }) => peerName);
    const key = names.join();
    if (key !== this.countersOf) {
      this.countersOf = key;
      this.counters = new Map();
    }
    const known = this.counters.get(workspace);
    if (known !== undefined) return known;
    const chosen = rendezvousOrder(`quota|${workspace}`, names, 1)[0];
    const counter = reached.find(({ peerName }) => peerName === chosen);
    if (counter !== undefined) this.counters.set(workspace, counter);
    return counter;
  }
}
