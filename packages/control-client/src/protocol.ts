/**
 * Requests and replies of control instances.
 */
import type { JobView } from '@shedline/types';
import type { JobCommand, JobGroupAnswer, ResultLine, ServiceDemand } from '@shedline/jobs';
import type { Order, OrderAnswer, OrderCommand } from '@shedline/fencing';
import type {
  EditAnswer,
  EntryStatus,
  RevisionReport,
  TableCommand,
  TableDelta,
} from '@shedline/table';

type WithoutTimestamp<T> = T extends { readonly atMs: number } ? Omit<T, 'atMs'> : T;

/** A command as a client sends it; the leader adds the time of its clock. */
export type JobProposal = WithoutTimestamp<JobCommand>;
/** Any command that can be proposed. */
export type Proposal = JobProposal | TableCommand | OrderCommand;

/** A linearizable read of a group. */
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

/** Reply to a refresh of the table. */
export interface RefreshAnswer {
  readonly delta: TableDelta;
  /** Entries that hold their lease; they are listed in responses to address requests. */
  readonly entries: readonly EntryStatus[];
}

/** A page of the results of a job. */
export interface ResultsPage {
  readonly lines: readonly ResultLine[];
  readonly nextIndex: number;
  readonly total: number;
}

/** Status of one group at one control instance. */
export interface GroupStatus {
  readonly group: number;
  readonly role: string;
  readonly leader: string;
  readonly term: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Whether this membership is committed. */
  readonly isConfigCommitted: boolean;
}

/** Status of one control instance. */
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

/** Target of control requests: a connection to an instance, or the local instance. */
export interface ControlPort {
  readonly name: string;
  /** Whether a call would be sent immediately. */
  readonly isReady: boolean;
  call(method: ControlMethod, payload: unknown, timeoutMs: number): Promise<unknown>;
  close(): void;
}

export type {
  EditAnswer,
  RevisionReport,
  JobGroupAnswer,
  JobView,
  Order,
  OrderAnswer,
  ServiceDemand,
};
