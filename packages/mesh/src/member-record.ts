/**
 * What the processes of a fleet tell of themselves.
 */

/** Kinds of processes. */
export type MemberKind = 'entry' | 'control' | 'store';
/** Whether a process takes work. */
export type MemberState = 'starting' | 'ready' | 'draining';

/** One process as it describes itself. */
export interface MemberRecord {
  /** `host:port` at which the process takes connections of its peers; its name in the fleet. */
  readonly name: string;
  readonly kind: MemberKind;
  readonly host: string;
  readonly port: number;
  /** Name of the instance, for operators. */
  readonly instance: string;
  readonly availabilityZone: string;
  /** Names this run of the process. */
  readonly epoch: string;
  /** Grows with each change of the record in one run. */
  readonly sequence: number;
  readonly state: MemberState;
  /** Where callers connect; entries only. */
  readonly callerAddress?: string;
  /** Where endpoints and operators connect; control processes only. */
  readonly controlAddress?: string;
  /** Identity of the process and its data folder, where it has one. */
  readonly memberId?: string;
  /** Job groups that the process holds, and those of them that it leads; stores only. */
  readonly holds?: readonly number[];
  readonly leads?: readonly number[];
  /** Whether the process started with the whole fleet, for the first time. */
  readonly isFounding?: boolean;
}
