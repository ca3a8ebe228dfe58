/**
 * Keeps the counts of the workspaces whose requests entries tell of to this control process, and tells all
 * entries which of them are near their limits.
 */
import type { Logger } from '@shedline/logger';
import { NEAR_INTERVAL_MS, RequestLedger } from '@shedline/quota';
import type { QuotaAnswer, QuotaRequest, QuotaTolerance, UsageReport } from '@shedline/quota';

/** Options of {@link QuotaCounter}. */
export interface QuotaCounterOptions {
  readonly tolerance: QuotaTolerance;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Tells all entries the workspaces that are near their limits. */
  readonly announce: (workspaces: readonly string[]) => void;
}

/** The counts that one control process keeps. */
export class QuotaCounter {
  private readonly options: QuotaCounterOptions;
  private readonly ledger: RequestLedger;
  private announced = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(options: QuotaCounterOptions) {
    this.options = options;
    const { tolerance, nowMs } = options;
    this.ledger = new RequestLedger({ tolerance, startedAtMs: nowMs() });
  }

  /** Workspaces whose count is kept here. */
  get size(): number {
    return this.ledger.size;
  }

  /** Starts to repeat the announcements. */
  start(): void {
    this.timer = setInterval(() => {
      this.repeat();
    }, NEAR_INTERVAL_MS);
  }

  /** Ends. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Counts requests that an entry let in. Gives the workspaces of these that are near their limits, of which it
   * must not have heard: it has just started, or its connection was lost.
   */
  take(reports: readonly UsageReport[]): string[] {
    const nowMs = this.options.nowMs();
    const near = reports.filter((report) => this.ledger.report(report, nowMs));
    const names = near.map(({ workspace }) => workspace);
    this.announceNew(names.filter((name) => !this.announced.has(name)));
    return names;
  }

  /** Lets requests pass as far as there is room. */
  answer(request: QuotaRequest): QuotaAnswer {
    const answer = this.ledger.ask(request, this.options.nowMs());
    if (answer.granted < request.wanted && !this.announced.has(request.workspace)) {
      this.announceNew([request.workspace]);
    }
    return answer;
  }

  private announceNew(workspaces: readonly string[]): void {
    if (workspaces.length === 0) return;
    for (const workspace of workspaces) this.announced.add(workspace);
    this.options.logger.info('workspaces near their limits', { step: 'quota', workspaces });
    this.options.announce(workspaces);
  }

  private repeat(): void {
    const nowMs = this.options.nowMs();
    this.ledger.tick(nowMs);
    const near = this.ledger.near(nowMs);
    this.announced = new Set(near);
    if (near.length > 0) this.options.announce(near);
  }
}
