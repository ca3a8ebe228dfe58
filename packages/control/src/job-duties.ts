/**
 * What the leader of a job group does from time to time: takes back items of silent holders,
 * forgets old jobs, and keeps the rate at which items end.
 */
import type { ControlSettings } from '@shedline/config';
import { LeaseClock } from '@shedline/jobs';
import type { GroupHost } from './group-host.js';
import { JobGroup } from './state-machine.js';

/** Weight of the newest measure in the rate of ended items. */
const RATE_SMOOTHING = 0.2;

/** Options of {@link JobDuties}. */
export interface JobDutiesOptions {
  readonly control: ControlSettings;
  readonly inBackground: (work: Promise<unknown>) => void;
}

/** Duties towards the job groups that this instance leads. */
export class JobDuties {
  private readonly options: JobDutiesOptions;
  private readonly leaseClocks = new Map<number, LeaseClock>();
  private readonly endedBefore = new Map<number, number>();

  constructor(options: JobDutiesOptions) {
    this.options = options;
  }

  /** Takes back what silent holders have; `intervalMs` is the time since the last call. */
  tick(host: GroupHost, machine: JobGroup, nowMs: number, intervalMs: number): void {
    const leaseIds = this.clockOf(host.group).expired(machine.jobs.openLeaseIds, nowMs);
    if (leaseIds.length > 0) {
      const command = { type: 'expireLeases', atMs: Date.now(), leaseIds };
      this.options.inBackground(host.propose(command));
    }
    const ended = machine.jobs.endedSinceStart;
    const newlyEnded = ended - (this.endedBefore.get(host.group) ?? ended);
    this.endedBefore.set(host.group, ended);
    const rate = newlyEnded / (intervalMs / 1000);
    machine.itemsPerSecond += RATE_SMOOTHING * (rate - machine.itemsPerSecond);
    machine.busyMs = machine.jobs.openJobs().length === 0 ? 0 : machine.busyMs + intervalMs;
  }

  /** Renews leases; gives those that are not open. */
  renew(host: GroupHost, leaseIds: readonly string[], nowMs: number): string[] {
    if (!(host.machine instanceof JobGroup)) return [];
    const open = new Set(host.machine.jobs.openLeaseIds);
    const clock = this.clockOf(host.group);
    for (const leaseId of leaseIds) {
      if (open.has(leaseId)) clock.renew(leaseId, nowMs);
    }
    return leaseIds.filter((leaseId) => !open.has(leaseId));
  }

  /** A new leader, or one that lost its group, starts every lease anew. */
  roleChanged(group: number): void {
    this.leaseClocks.get(group)?.clear();
  }

  /** Ends items past due where the row says so, and forgets old jobs and calls. */
  housekeep(host: GroupHost): void {
    const { jobRetentionMs, callRetentionMs } = this.options.control;
    const command = { type: 'housekeep', atMs: Date.now(), jobRetentionMs, callRetentionMs };
    this.options.inBackground(host.propose(command));
  }

  private clockOf(group: number): LeaseClock {
    const known = this.leaseClocks.get(group);
    if (known !== undefined) return known;
    const clock = new LeaseClock({ leaseMs: this.options.control.itemLeaseMs });
    this.leaseClocks.set(group, clock);
    return clock;
  }
}
