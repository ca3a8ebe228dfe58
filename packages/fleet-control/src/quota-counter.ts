/**
 * Counts the requests of workspaces that entries report to this control process, and announces to all
 * entries which workspaces are near their limits.
 */
import type { Logger } from '@shedline/logger';
import { NEAR_LIMIT_INTERVAL_MS, RequestLedger } from '@shedline/quota';
import type { QuotaAnswer, QuotaRequest, QuotaTolerance, UsageReport } from '@shedline/quota';

/** Options of {@link QuotaCounter}. */
export interface QuotaCounterOptions {
  readonly tolerance: QuotaTolerance;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Sends the workspaces that are near their limits to all entries. */
  readonly announce: (workspaces: readonly string[]) => void;
}

/** The request counts of one control process. */
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

  /** Number of workspaces that are counted here. */
  get size(): number {
    return this.ledger.size;
  }

  /** Starts the periodic announcements. */
  start(): void {
    this.timer = setInterval(() => {
      this.repeatAnnouncement();
    }, NEAR_LIMIT_INTERVAL_MS);
  }

  /** Stops the periodic announcements. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Counts requests that an entry admitted. Returns those of their workspaces that are near their
   * limits, because the entry may have missed the announcement: it has just started, or its connection
   * was lost.
   */
  recordUsage(reports: readonly UsageReport[]): string[] {
    const nowMs = this.options.nowMs();
    const near = reports.filter((report) => this.ledger.report(report, nowMs));
    const names = near.map(({ workspace }) => workspace);
    this.announceNew(names.filter((name) => !this.announced.has(name)));
    return names;
  }

  /** Grants requests as far as the limit of their workspace allows. */
  grant(request: QuotaRequest): QuotaAnswer {
    const answer = this.ledger.grant(request, this.options.nowMs());
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

  private repeatAnnouncement(): void {
    const nowMs = this.options.nowMs();
    this.ledger.tick(nowMs);
    const near = this.ledger.workspacesNearLimit(nowMs);
    this.announced = new Set(near);
    if (near.length > 0) this.options.announce(near);
  }
}
