/**
 * State machines of the replicated log groups.
 */
import { pack, unpack } from 'msgpackr';
import { match, P } from 'ts-pattern';
import { Orders } from '@shedline/fencing';
import type { OrderCommand } from '@shedline/fencing';
import { Jobs } from '@shedline/jobs';
import type { JobCommand } from '@shedline/jobs';
import type { ItemFiles } from '@shedline/storage';
import { Table } from '@shedline/table';
import type { TableCommand } from '@shedline/table';
import type { Query } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';

/** File that the state of a group refers to, with the size of its valid part. */
export interface StateFile {
  readonly file: string;
  readonly sizeBytes: number;
}

/** Deterministic state machine that applies the committed commands of a group. */
export interface GroupStateMachine {
  apply(command: unknown, logIndex: number): unknown;
  /** Runs a query of a control client; undefined for groups that are read in other ways. */
  query?(query: Query, wallMs: number): unknown;
  snapshot(): Uint8Array;
  restore(state: Uint8Array): void;
  fileSizes(): readonly StateFile[];
}

/** State machine of the table group: the table, and the orders to endpoints. */
export class TableGroup implements GroupStateMachine {
  readonly table = new Table();
  readonly orders = new Orders();

  apply(command: unknown, logIndex: number): unknown {
    return match(command as TableCommand | OrderCommand)
      .with({ type: P.union('editRow', 'replaceTable') }, (c) => this.table.apply(c))
      .with({ type: P.union('placeOrder', 'claimOrders', 'moveOrder') }, (c) =>
        this.orders.apply(c, logIndex),
      )
      .exhaustive();
  }

  query(query: Query): unknown {
    if (query.type === 'table') return this.table.deltaSince(query.fromRevision);
    if (query.type === 'orders') return this.orders.all;
    throw unknownQuery(query);
  }

  snapshot(): Uint8Array {
    return pack([this.table.snapshot(), this.orders.snapshot()]);
  }

  restore(state: Uint8Array): void {
    const [table, orders] = unpack(state) as [Uint8Array, Uint8Array];
    this.table.restore(table);
    this.orders.restore(orders);
  }

  fileSizes(): readonly StateFile[] {
    return [];
  }
}

/** Time with open jobs before the item rate is used to predict a missed deadline. */
const MIN_BUSY_MS = 10_000;

/** State machine of a job group: jobs and call claims. */
export class JobGroup implements GroupStateMachine {
  readonly jobs: Jobs;
  /** Moving average of the items finished per second, used to predict missed deadlines. */
  itemsPerSecond = 0;
  /** Time for which the group has had open jobs; a rate from a short time predicts nothing. */
  busyMs = 0;

  constructor(files: ItemFiles) {
    this.jobs = new Jobs(files);
  }

  apply(command: unknown, logIndex: number): unknown {
    return this.jobs.apply(command as JobCommand, logIndex);
  }

  query(query: Query, wallMs: number): unknown {
    return match(query)
      .with({ type: 'job' }, (q) =>
        this.jobs.view(q.jobId, q.workspace, this.willMissDeadline(q.jobId, wallMs)),
      )
      .with({ type: 'jobs' }, (q) => this.jobs.list(q.workspace))
      .with({ type: 'results' }, (q) => this.jobs.results(q))
      .with({ type: 'demand' }, () => this.jobs.demand(wallMs))
      .otherwise((q) => {
        throw unknownQuery(q);
      });
  }

  snapshot(): Uint8Array {
    return this.jobs.snapshot();
  }

  restore(state: Uint8Array): void {
    this.jobs.restore(state);
  }

  fileSizes(): readonly StateFile[] {
    return this.jobs.fileSizes();
  }

  /**
   * Returns whether the open items that are due by the job's deadline cannot all finish by then at
   * the current rate.
   */
  private willMissDeadline(jobId: string, wallMs: number): boolean {
    const openJobs = this.jobs.openJobs();
    const job = openJobs.find((candidate) => candidate.jobId === jobId);
    if (job === undefined || job.openItems === 0) return false;
    if (job.dueAtMs <= wallMs) return true;
    if (this.itemsPerSecond === 0 || this.busyMs < MIN_BUSY_MS) return false;
    const dueEarlier = openJobs.filter((candidate) => candidate.dueAtMs <= job.dueAtMs);
    const itemCount = dueEarlier.reduce((sum, candidate) => sum + candidate.openItems, 0);
    return wallMs + (itemCount / this.itemsPerSecond) * 1000 > job.dueAtMs;
  }
}

function unknownQuery(query: Query): ShedlineError {
  const message = `this group does not support ${query.type} queries`;
  return new ShedlineError({ type: 'invalid_request', message, step: 'query' });
}
