/**
 * Requests that control instances answer.
 */
import type { JobView } from '@shedline/types';
import type { JobCommand, JobGroupAnswer, ResultLine, ServiceDemand } from '@shedline/jobs';
import type { Order, OrderAnswer, OrderCommand } from '@shedline/fencing';
import type {
  EditAnswer,
  EntryStatus,
  InForceReport,
  TableCommand,
  TableDelta,
} from '@shedline/table';

type Untimed<T> = T extends { readonly atMs: number } ? Omit<T, 'atMs'> : T;

/** A command as a client sends it: the leader adds its clock. */
export type JobProposal = Untimed<JobCommand>;
/** Any command that can be proposed. */
export type Proposal = JobProposal | TableCommand | OrderCommand;

/** A linearizable question to a group. */
export type Query =
  | { readonly type: 'job'; readonly jobId: string; readonly workspace: string }
  | { readonly type: 'jobs'; readonly workspace: string }
  | {
      readonly type: 'results';
      readonly jobId: string;
      readonly workspace: string;
      readonly fromIndex: number;
      readonly maxBytes: number;
    }
  | { readonly type: 'demand' }
  | { readonly type: 'table'; readonly fromRevision: number }
  | { readonly type: 'inForce'; readonly revision: number }
  | { readonly type: 'orders' };

/** Answer to a look at the table. */
export interface RefreshAnswer {
  readonly delta: TableDelta;
  /** Entries that hold their lease, for the address answers. */
  readonly entries: readonly EntryStatus[];
}

/** Part of the results of a job. */
export interface ResultsPage {
  readonly lines: readonly ResultLine[];
  readonly nextIndex: number;
  readonly total: number;
}

/** State of one group at one control instance. */
export interface GroupStatus {
  readonly group: number;
  readonly role: string;
  readonly leader: string;
  readonly term: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Whether the members named are committed. */
  readonly isConfigCommitted: boolean;
}

/** State of one control instance. */
export interface ControlStatus {
  readonly instance: string;
  readonly memberId: string;
  readonly clusterId: string;
  readonly diskFailure: string;
  readonly syncs: number;
  readonly memoryBytes: number;
  readonly groups: readonly GroupStatus[];
}

/** Method names of the requests. */
export type ControlMethod = 'propose' | 'query' | 'renew' | 'refresh' | 'status' | 'groups';

/** Anything that answers control requests: a connection or the instance itself. */
export interface ControlPort {
  readonly name: string;
  /** Whether a call would go out now. */
  readonly isReady: boolean;
  call(method: ControlMethod, payload: unknown, timeoutMs: number): Promise<unknown>;
  close(): void;
}

export type {
  EditAnswer,
  InForceReport,
  JobGroupAnswer,
  JobView,
  Order,
  OrderAnswer,
  ServiceDemand,
};
