/**
 * State machines that run on a replicated log group.
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

/** A file that a state refers to and how much of it is valid. */
export interface StateFile {
  readonly file: string;
  readonly sizeBytes: number;
}

/** Deterministic state fed by the commands of one group. */
export interface GroupStateMachine {
  apply(command: unknown, logIndex: number): unknown;
  /** Answers a query of a control client; groups that are read by other means have none. */
  query?(query: Query, wallMs: number): unknown;
  snapshot(): Uint8Array;
  restore(state: Uint8Array): void;
  fileSizes(): readonly StateFile[];
}

/** The table and the orders to endpoints. */
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

/** Time that items must have been ending before a late end is foretold. */
const MIN_BUSY_MS = 10_000;

/** Jobs and call claims. */
export class JobGroup implements GroupStateMachine {
  readonly jobs: Jobs;
  /** Items that ended a second lately, for the prediction of late ends. */
  itemsPerSecond = 0;
  /** How long items have been ending; a young rate foretells nothing. */
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
        this.jobs.view(q.jobId, q.workspace, this.isPredictedLate(q.jobId, wallMs)),
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

  /** Items due no later than the job's must fit into the time left at the present rate. */
  private isPredictedLate(jobId: string, wallMs: number): boolean {
    const open = this.jobs.openJobs();
    const job = open.find((candidate) => candidate.jobId === jobId);
    if (job === undefined || job.openItems === 0) return false;
    if (job.dueAtMs <= wallMs) return true;
    if (this.itemsPerSecond === 0 || this.busyMs < MIN_BUSY_MS) return false;
    const ahead = open.filter((candidate) => candidate.dueAtMs <= job.dueAtMs);
    const items = ahead.reduce((sum, candidate) => sum + candidate.openItems, 0);
    return wallMs + (items / this.itemsPerSecond) * 1000 > job.dueAtMs;
  }
}

function unknownQuery(query: Query): ShedlineError {
  const message = `this group answers no ${query.type} query`;
  return new ShedlineError({ type: 'invalid_request', message, step: 'query' });
}
