/**
 * The state machines that a fleet replicates in consensus groups.
 */
import { pack, unpack } from 'msgpackr';
import type { GroupStateMachine, StateFile } from '@shedline/control';
import { FleetState } from '@shedline/fleet';
import type { FleetAnswer, FleetCommand } from '@shedline/fleet';
import type { ItemFiles } from '@shedline/storage';
import { WholeJobs } from '@shedline/whole-jobs';
import type { WholeJobCommand } from '@shedline/whole-jobs';

/** Number of the group that replicates the state of the fleet. */
export const FLEET_GROUP = 0;

/** Replicates the configuration, leave records and the store cluster. */
export class FleetStateMachine implements GroupStateMachine {
  readonly state = new FleetState();
  private readonly onChange: () => void;

  constructor(onChange: () => void) {
    this.onChange = onChange;
  }

  apply(command: unknown): FleetAnswer {
    const answer = this.state.apply(command as FleetCommand);
    if (answer.outcome === 'stored') this.onChange();
    return answer;
  }

  snapshot(): Uint8Array {
    return pack(this.state.toData());
  }

  restore(state: Uint8Array): void {
    this.state.restore(unpack(state));
    this.onChange();
  }

  fileSizes(): readonly StateFile[] {
    return [];
  }
}

/** Replicates whole jobs. */
export class WholeJobStateMachine implements GroupStateMachine {
  readonly jobs: WholeJobs;
  private readonly onApplied: (command: WholeJobCommand) => void;

  constructor(files: ItemFiles, onApplied: (command: WholeJobCommand) => void) {
    this.jobs = new WholeJobs(files);
    this.onApplied = onApplied;
  }

  apply(command: unknown, logIndex: number): unknown {
    const answer = this.jobs.apply(command as WholeJobCommand, logIndex);
    this.onApplied(command as WholeJobCommand);
    return answer;
  }

  snapshot(): Uint8Array {
    return pack(this.jobs.toData());
  }

  restore(state: Uint8Array): void {
    this.jobs.restore(unpack(state));
  }

  fileSizes(): readonly StateFile[] {
    return this.jobs.fileSizes();
  }
}
