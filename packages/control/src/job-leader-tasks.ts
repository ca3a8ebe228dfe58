/**
 * Periodic tasks of the leader of a job group: expires item leases that were not renewed, removes
 * old jobs, and measures the rate at which items finish.
 */
import type { ControlSettings } from '@shedline/config';
import { LeaseClock } from '@shedline/jobs';
import type { GroupHost } from './group-host.js';
import { JobGroup } from './state-machine.js';

/** Weight of the latest measurement in the moving average of the item rate. */
const RATE_SMOOTHING = 0.2;

/** Options of {@link JobLeaderTasks}. */
export interface JobLeaderTasksOptions {
  readonly control: ControlSettings;
  readonly inBackground: (work: Promise<unknown>) => void;
}

/** Tasks for the job groups that this instance leads. */
export class JobLeaderTasks {
  private readonly options: JobLeaderTasksOptions;
  private readonly leaseClocks = new Map<number, LeaseClock>();
  private readonly lastEndedCounts = new Map<number, number>();

  constructor(options: JobLeaderTasksOptions) {
    this.options = options;
  }

  /**
   * Expires leases that were not renewed and updates the item rate. `intervalMs` is the time since
   * the last call.
   */
  tick(host: GroupHost, machine: JobGroup, nowMs: number, intervalMs: number): void {
    const leaseIds = this.leaseClockOf(host.group).expired(machine.jobs.openLeaseIds, nowMs);
    if (leaseIds.length > 0) {
      const command = { type: 'expireLeases', atMs: Date.now(), leaseIds };
      this.options.inBackground(host.propose(command));
    }
    const endedCount = machine.jobs.resultsSinceStart;
    const endedSinceLastCall = endedCount - (this.lastEndedCounts.get(host.group) ?? endedCount);
    this.lastEndedCounts.set(host.group, endedCount);
    const rate = endedSinceLastCall / (intervalMs / 1000);
    machine.itemsPerSecond += RATE_SMOOTHING * (rate - machine.itemsPerSecond);
    machine.busyMs = machine.jobs.openJobs().length === 0 ? 0 : machine.busyMs + intervalMs;
  }

  /** Renews leases; returns the ids of the leases that are not open. */
  renew(host: GroupHost, leaseIds: readonly string[], nowMs: number): string[] {
    if (!(host.machine instanceof JobGroup)) return [];
    const open = new Set(host.machine.jobs.openLeaseIds);
    const clock = this.leaseClockOf(host.group);
    for (const leaseId of leaseIds) {
      if (open.has(leaseId)) clock.renew(leaseId, nowMs);
    }
    return leaseIds.filter((leaseId) => !open.has(leaseId));
  }

  /** Called when this instance gains or loses leadership; restarts the time of the group leases. */
  roleChanged(group: number): void {
    this.leaseClocks.get(group)?.clear();
  }

  /** Ends overdue items of services that stop at the deadline, and removes old jobs and calls. */
  housekeep(host: GroupHost): void {
    const { jobRetentionMs, callRetentionMs } = this.options.control;
    const command = { type: 'housekeep', atMs: Date.now(), jobRetentionMs, callRetentionMs };
    this.options.inBackground(host.propose(command));
  }

  private leaseClockOf(group: number): LeaseClock {
    const known = this.leaseClocks.get(group);
    if (known !== undefined) return known;
    const clock = new LeaseClock({ leaseMs: this.options.control.itemLeaseMs });
    this.leaseClocks.set(group, clock);
    return clock;
  }
}
