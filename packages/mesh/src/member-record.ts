/**
 * Records with which the processes of a fleet announce themselves.
 */

/** Kinds of processes. */
export type MemberKind = 'entry' | 'control' | 'store';
/** Whether a process accepts work. */
export type MemberState = 'starting' | 'ready' | 'draining';

/** A process as it describes itself. */
export interface MemberRecord {
  /** `host:port` at which the process accepts connections of its peers; its name in the fleet. */
  readonly name: string;
  readonly kind: MemberKind;
  readonly host: string;
  readonly port: number;
  /** Name of the instance, for operators. */
  readonly instance: string;
  readonly availabilityZone: string;
  /** Id of this incarnation of the process. */
  readonly epoch: string;
  /** Increases with each change of the record within one incarnation. */
  readonly sequence: number;
  readonly state: MemberState;
  /** Where callers connect; entries only. */
  readonly callerAddress?: string;
  /** Where endpoints and operators connect; control processes only. */
  readonly controlAddress?: string;
  /** Identity of the process and its data folder; omitted without a data folder. */
  readonly memberId?: string;
  /** Job groups that the process is a member of; stores only. */
  readonly holds?: readonly number[];
  /** Job groups that the process leads; stores only. */
  readonly leads?: readonly number[];
  /** Whether the process was started for the first time as part of the founding of the fleet. */
  readonly isFounding?: boolean;
}
