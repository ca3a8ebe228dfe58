/**
 * Handles requests of entries and peers to a control instance.
 */
import type { ControlMethod, Proposal, Query } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import type { EntryStatus } from '@shedline/table';
import { TABLE_GROUP } from '@shedline/types';
import type { GroupHost } from './group-host.js';
import type { JobLeaderTasks } from './job-leader-tasks.js';
import type { TableLeaderTasks } from './table-leader-tasks.js';

/** Options of {@link ControlRequests}. */
export interface ControlRequestsOptions {
  readonly instance: string;
  readonly hosts: ReadonlyMap<number, GroupHost>;
  readonly jobTasks: JobLeaderTasks;
  readonly tableTasks: TableLeaderTasks;
  readonly nowMs: () => number;
  /** Number of job groups of the cluster; undefined while the instance has no cluster. */
  readonly groupCount: () => number | undefined;
}

/** Handles requests once the instance belongs to a cluster. */
export class ControlRequests {
  private readonly options: ControlRequestsOptions;

  constructor(options: ControlRequestsOptions) {
    this.options = options;
  }

  /** Handles a request; throws `unavailable` if the caller should try another instance. */
  async handle(method: string, payload: unknown): Promise<unknown> {
    const groupCount = this.options.groupCount();
    if (groupCount === undefined) throw this.notReady(method);
    switch (method as ControlMethod) {
      case 'groups':
        return groupCount;
      case 'propose':
        return this.propose(payload as { group: number; command: Proposal });
      case 'query':
        return this.query(payload as { group: number; query: Query });
      case 'renew':
        return this.renew(payload as { group: number; leaseIds: string[] });
      case 'refresh':
        return this.refresh(payload as EntryStatus);
      default:
        throw this.notReady(method);
    }
  }

  private propose(payload: { group: number; command: Proposal }): Promise<unknown> {
    const host = this.hostOf(payload.group, 'propose');
    return host.propose({ ...payload.command, atMs: Date.now() });
  }

  private async query(payload: { group: number; query: Query }): Promise<unknown> {
    const host = this.hostOf(payload.group, 'query');
    if (payload.query.type === 'inForce') {
      await host.confirmLeadership();
      return this.options.tableTasks.report(payload.query.revision);
    }
    return host.query(payload.query);
  }

  private async renew(payload: { group: number; leaseIds: string[] }): Promise<string[]> {
    const host = this.hostOf(payload.group, 'renew');
    await host.confirmLeadership();
    return this.options.jobTasks.renew(host, payload.leaseIds, this.options.nowMs());
  }

  private async refresh(status: EntryStatus): Promise<unknown> {
    const host = this.hostOf(TABLE_GROUP, 'refresh');
    const delta = await host.query({ type: 'table', fromRevision: status.revision });
    return { delta, entries: this.options.tableTasks.recordEntryStatus(status) };
  }

  private hostOf(group: number, step: string): GroupHost {
    const host = this.options.hosts.get(group);
    if (host === undefined) throw this.notReady(step);
    return host;
  }

  private notReady(step: string): ShedlineError {
    const { instance } = this.options;
    const message = `${instance} cannot serve this request; try another control instance`;
    return new ShedlineError({ type: 'unavailable', message, step, peer: instance, ran: 'no' });
  }
}
