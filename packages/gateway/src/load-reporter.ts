/**
 * Reports the load from this entry at each endpoint to the entries that share the endpoint.
 * {@link LoadReportUrgency} decides when a changed load is due.
 */
import { LoadReportUrgency } from '@shedline/routing';
import type { EntryLoad, ReportableLoad } from '@shedline/routing';
import type { EndpointPool, LoadCount } from './endpoint-pool.js';
import type { EntryConnections } from './entry-connections.js';

/** Time after which a nonzero load is repeated; other entries discard it after 3 s. */
const REPEAT_MS = 1000;
/**
 * Share of its delay after which a load is sent along with another one that is due. The same
 * entries share most endpoints, so it costs no further message.
 */
const SENT_ALONG_SHARE = 0.25;
/**
 * Maximum time between two checks of the loads not reported yet: reports of other entries may have
 * made them urgent.
 */
const CHECK_INTERVAL_MS = 100;
/** Timers may fire a fraction of a millisecond early. */
const TIMER_TOLERANCE_MS = 1;
const NO_LOAD: EntryLoad = { online: 0, batch: 0 };

/** Options of {@link LoadReporter}. */
export interface LoadReporterOptions {
  readonly entries: Pick<EntryConnections, 'send'>;
  readonly pool: () => Pick<EndpointPool, 'reportableLoad'>;
  /** Returns the entries that use an endpoint. */
  readonly usersOf: (endpointId: string) => readonly string[];
  readonly urgency?: Pick<LoadReportUrgency, 'delayMs'>;
  readonly nowMs?: () => number;
  /** Calls `callback` after a delay on the clock of `nowMs`; `setTimeout` if omitted. */
  readonly after?: (delayMs: number, callback: () => void) => void;
}

/** What the other entries were sent about one endpoint. */
interface ReportState {
  reported: EntryLoad;
  reportedAtMs: number;
  /** When the load became different from the reported one; undefined if it is equal. */
  changedAtMs: number | undefined;
}

/** A load that has to be sent, and when. */
interface PendingReport {
  readonly state: ReportState;
  readonly count: LoadCount;
  readonly dueAtMs: number;
  /** From when on it is sent along with another report that is due. */
  readonly sentAlongFromMs: number;
}

/** Sends the load reports. */
export class LoadReporter {
  private readonly options: LoadReporterOptions;
  private readonly urgency: Pick<LoadReportUrgency, 'delayMs'>;
  private readonly nowMs: () => number;
  private readonly after: (delayMs: number, callback: () => void) => void;
  private readonly states = new Map<string, ReportState>();
  private isRunning = false;
  private timer: NodeJS.Timeout | undefined;
  private nextCheckAtMs = Infinity;

  constructor(options: LoadReporterOptions) {
    this.options = options;
    this.urgency = options.urgency ?? new LoadReportUrgency();
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.after =
      options.after ??
      ((delayMs, callback) => {
        clearTimeout(this.timer);
        this.timer = setTimeout(callback, delayMs);
      });
  }

  /** Starts sending reports. */
  start(): void {
    this.isRunning = true;
    this.check();
  }

  /** Notes that the load from this entry at an endpoint changed. */
  markChanged(endpointId: string): void {
    const nowMs = this.nowMs();
    const state = this.stateOf(endpointId);
    const load = this.options.pool().reportableLoad(endpointId);
    if (isEqual(load?.own ?? NO_LOAD, state.reported)) state.changedAtMs = undefined;
    else state.changedAtMs ??= nowMs;
    const report = this.pendingOf(endpointId, state, load);
    if (report !== undefined)
      this.scheduleCheck(Math.min(report.dueAtMs, nowMs + CHECK_INTERVAL_MS));
  }

  /** Stops sending reports. */
  stop(): void {
    this.isRunning = false;
    this.nextCheckAtMs = Infinity;
    clearTimeout(this.timer);
  }

  private stateOf(endpointId: string): ReportState {
    const known = this.states.get(endpointId);
    if (known !== undefined) return known;
    const created = { reported: NO_LOAD, reportedAtMs: -Infinity, changedAtMs: undefined };
    this.states.set(endpointId, created);
    return created;
  }

  /** Sends the loads that are due, and schedules the next check. */
  private check(): void {
    const nowMs = this.nowMs();
    this.nextCheckAtMs = Infinity;
    const pending: PendingReport[] = [];
    for (const [endpointId, state] of this.states) {
      const report = this.pendingOf(
        endpointId,
        state,
        this.options.pool().reportableLoad(endpointId),
      );
      if (report === undefined) this.states.delete(endpointId);
      else pending.push(report);
    }
    const isAnyDue = pending.some(({ dueAtMs }) => dueAtMs <= nowMs + TIMER_TOLERANCE_MS);
    const sent = pending.filter(
      ({ dueAtMs, sentAlongFromMs }) =>
        isAnyDue && Math.min(dueAtMs, sentAlongFromMs) <= nowMs + TIMER_TOLERANCE_MS,
    );
    for (const { state, count } of sent) noteReported(state, count, nowMs);
    this.send(sent.map(({ count }) => count));
    for (const { state, dueAtMs } of pending) {
      // A load that was sent just now is repeated; the others may become urgent before they are due.
      if (state.changedAtMs === undefined) this.scheduleCheck(state.reportedAtMs + REPEAT_MS);
      else this.scheduleCheck(Math.min(dueAtMs, nowMs + CHECK_INTERVAL_MS));
    }
  }

  /** Returns the next report of an endpoint; undefined if there is nothing to report or repeat. */
  private pendingOf(
    endpointId: string,
    state: ReportState,
    load: ReportableLoad | undefined,
  ): PendingReport | undefined {
    const { reported, reportedAtMs, changedAtMs } = state;
    const mustRepeat = !isEqual(reported, NO_LOAD);
    if (load === undefined || (changedAtMs === undefined && !mustRepeat)) return undefined;
    const count = { endpointId, ...load.own };
    const repeatAtMs = mustRepeat ? reportedAtMs + REPEAT_MS : Infinity;
    if (changedAtMs === undefined) {
      const sentAlongFromMs = reportedAtMs + REPEAT_MS * SENT_ALONG_SHARE;
      return { state, count, dueAtMs: repeatAtMs, sentAlongFromMs };
    }
    const delayMs = this.urgency.delayMs(load, reported);
    const dueAtMs = Math.min(changedAtMs + delayMs, repeatAtMs);
    return { state, count, dueAtMs, sentAlongFromMs: changedAtMs + delayMs * SENT_ALONG_SHARE };
  }

  private scheduleCheck(atMs: number): void {
    if (!this.isRunning || atMs >= this.nextCheckAtMs) return;
    this.nextCheckAtMs = atMs;
    this.after(Math.max(0, atMs - this.nowMs()), () => {
      if (this.nextCheckAtMs === atMs) this.check();
    });
  }

  private send(counts: readonly LoadCount[]): void {
    const byUser = new Map<string, LoadCount[]>();
    for (const count of counts) {
      for (const user of this.options.usersOf(count.endpointId)) {
        const known = byUser.get(user);
        if (known === undefined) byUser.set(user, [count]);
        else known.push(count);
      }
    }
    // Reports to this entry itself and to disconnected entries are dropped: there is no connection.
    for (const [user, userCounts] of byUser) this.options.entries.send(user, 'loads', userCounts);
  }
}

function noteReported(state: ReportState, { online, batch }: LoadCount, nowMs: number): void {
  state.reported = { online, batch };
  state.reportedAtMs = nowMs;
  state.changedAtMs = undefined;
}

function isEqual(left: EntryLoad, right: EntryLoad): boolean {
  return left.online === right.online && left.batch === right.batch;
}
