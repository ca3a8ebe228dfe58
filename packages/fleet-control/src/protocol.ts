/**
 * Requests between the processes of a fleet.
 */
import type { DigestDelta, FleetDelta, FleetPosition, RegistryDelta } from '@shedline/fleet';
import type {
  CommitRuns,
  ItemProgress,
  ItemRef,
  ResultsPage,
  SubmitJob,
  SubmittedItem,
} from '@shedline/whole-jobs';

/** A reader's request for the changes since its last refresh from one control process. */
export interface RefreshRequest {
  readonly position: FleetPosition;
  /** Epoch of the endpoint registry that the cursor belongs to. */
  readonly epoch: string;
  readonly cursor: number;
  /** Maximum number of heartbeats in the reply; earlier versions omit it and get all. */
  readonly maxHeartbeats?: number;
  /** Whether the reader wants digests; earlier versions omit it and get whole heartbeats. */
  readonly wantsDigests?: boolean;
}

/** The changes of the fleet state that a control process has applied. */
export interface StateAnswer {
  readonly delta: FleetDelta;
  /**
   * Time since a quorum confirmed the state that the delta is computed from; omitted by a process
   * without a member of the fleet group.
   */
  readonly confirmedAgeMs?: number;
}

/** The changes since the position and the cursor of a {@link RefreshRequest}. */
export interface RefreshAnswer extends StateAnswer {
  readonly endpoints: RegistryDelta | DigestDelta;
}

/** A job as an entry submits it; the leader adds the time of its clock. */
export type JobSubmission = Omit<SubmitJob, 'type' | 'atMs'>;

/** An item that an entry is to execute. */
export interface GrantedItem {
  readonly jobId: string;
  readonly index: number;
  readonly host: string;
  readonly path: string;
  /** Workspace of the job; undefined if its route requires no API key. */
  readonly workspace?: string;
  /** Wall-clock time at which the results of its job are due. */
  readonly dueAtMs: number;
  readonly item: SubmittedItem;
  /** Progress of an earlier execution attempt. */
  readonly progress?: ItemProgress;
  /** Whether no other item may run beside it; earlier versions omit it and count all crashes. */
  readonly mustRunAlone?: boolean;
}

/** Reply to a request for items. */
export interface GrantAnswer {
  readonly items: readonly GrantedItem[];
  /** Items of the route that are not assigned to an entry yet. */
  readonly waitingItems: number;
}

/** Renews the leases of the items that an entry holds. */
export interface RenewRequest {
  readonly holder: string;
  readonly refs: readonly ItemRef[];
}

/** Results, failed attempts and returned items of an entry. */
export type RunReport = Omit<CommitRuns, 'type' | 'atMs'>;

/** Requests results of a job. */
export interface ResultsRequest {
  readonly jobId: string;
  readonly position: number;
  readonly maxBytes: number;
  /** Maximum time to wait for a first result. */
  readonly waitMs: number;
}

/** Requests the body of an item. */
export interface BodyRequest {
  readonly jobId: string;
  readonly itemId: string;
}

/** Results; undefined if there is no such job. */
export type ResultsAnswer = ResultsPage | undefined;

/** Body of an item; undefined if there is no such item. */
export interface BodyAnswer {
  readonly body: Uint8Array | undefined;
  /** Whether the route that accepted its job required no API key; omitted by earlier versions. */
  readonly isPublic?: boolean;
}

/** Message to entries: a job was ended, and its running items must be cancelled. */
export interface JobEndedMessage {
  readonly jobId: string;
}
