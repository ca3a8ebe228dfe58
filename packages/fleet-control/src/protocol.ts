/**
 * Requests between the processes of a fleet.
 */
import type { FleetDelta, FleetPosition, RegistryDelta } from '@shedline/fleet';
import type {
  CommitRuns,
  ItemProgress,
  ItemRef,
  ResultsPage,
  SubmitJob,
  SubmittedItem,
} from '@shedline/whole-jobs';

/** What a reader has from one control process. */
export interface RefreshRequest {
  readonly position: FleetPosition;
  /** Register that the cursor belongs to. */
  readonly epoch: string;
  readonly cursor: number;
}

/** The state of the fleet as far as a control process has it. */
export interface StateAnswer {
  readonly delta: FleetDelta;
  /**
   * Time since a quorum confirmed the state that the delta is made from; left out by a process that
   * holds no member of the fleet group.
   */
  readonly confirmedAgeMs?: number;
}

/** What is new since. */
export interface RefreshAnswer extends StateAnswer {
  readonly endpoints: RegistryDelta;
}

/** A job as an entry submits it; the leader adds its clock. */
export type JobSubmission = Omit<SubmitJob, 'type' | 'atMs'>;

/** An item that its holder is to run. */
export interface GrantedItem {
  readonly jobId: string;
  readonly index: number;
  readonly host: string;
  readonly path: string;
  /** Workspace as which it runs; undefined where its route asks for no key. */
  readonly workspace?: string;
  /** Wall clock at which its job is due. */
  readonly dueAtMs: number;
  readonly item: SubmittedItem;
  /** How far an earlier run got. */
  readonly progress?: ItemProgress;
}

/** Answer to a request for items. */
export interface GrantAnswer {
  readonly items: readonly GrantedItem[];
  /** Items of the route that still wait for a holder. */
  readonly waitingItems: number;
}

/** What a holder still has. */
export interface RenewRequest {
  readonly holder: string;
  readonly refs: readonly ItemRef[];
}

/** Results, failed runs and returned items of a holder. */
export type RunReport = Omit<CommitRuns, 'type' | 'atMs'>;

/** Asks for results. */
export interface ResultsRequest {
  readonly jobId: string;
  readonly position: number;
  readonly maxBytes: number;
  /** Longest wait for a first result. */
  readonly waitMs: number;
}

/** Asks for the body of an item. */
export interface BodyRequest {
  readonly jobId: string;
  readonly itemId: string;
}

/** Results; undefined where there is no such job. */
export type ResultsAnswer = ResultsPage | undefined;

/** Body of an item; undefined where there is none. */
export interface BodyAnswer {
  readonly body: Uint8Array | undefined;
}

/** Message to entries: a job was ended, its items must stop. */
export interface JobEndedMessage {
  readonly jobId: string;
}
