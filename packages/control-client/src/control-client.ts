/**
 * Calls of entries and tools to the control instances of a fleet with statically configured peers.
 */
import { TABLE_GROUP, groupOf } from '@shedline/types';
import type { JobView } from '@shedline/types';
import type { JobGroupAnswer, ServiceDemand } from '@shedline/jobs';
import type { Order, OrderAnswer, OrderCommand } from '@shedline/fencing';
import type {
  EditAnswer,
  EntryStatus,
  RevisionReport,
  TableCommand,
  TableDelta,
} from '@shedline/table';
import { LeaderCaller } from './leader-caller.js';
import type {
  ControlMethod,
  ControlPort,
  ControlStatus,
  JobProposal,
  Query,
  RefreshAnswer,
  ResultsPage,
} from './protocol.js';

const DEFAULT_TIMEOUT_MS = 10_000;

/** Options of {@link ControlClient}. */
export interface ControlClientOptions {
  readonly ports: readonly ControlPort[];
  /** Maximum duration of a call, including its retries. */
  readonly timeoutMs?: number;
}

/** Calls the control instance that leads a group. */
export class ControlClient {
  private readonly ports: readonly ControlPort[];
  private readonly timeoutMs: number;
  private readonly caller: LeaderCaller;
  private cachedGroupCount = 0;

  constructor(options: ControlClientOptions) {
    this.ports = options.ports;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.caller = new LeaderCaller({ ports: () => this.ports });
  }

  /** Returns the number of job groups; requested once and cached. */
  async groupCount(): Promise<number> {
    if (this.cachedGroupCount === 0) {
      this.cachedGroupCount = (await this.callAny('groups', {})) as number;
    }
    return this.cachedGroupCount;
  }

  /** Returns the job group of a key. */
  async groupOfKey(key: string): Promise<number> {
    return groupOf(key, await this.groupCount());
  }

  /** Proposes a command to a job group. */
  proposeJob(group: number, command: JobProposal): Promise<JobGroupAnswer> {
    return this.callLeader('propose', group, { group, command }) as Promise<JobGroupAnswer>;
  }

  /** Proposes an edit of the table. */
  proposeEdit(command: TableCommand): Promise<EditAnswer> {
    const payload = { group: TABLE_GROUP, command };
    return this.callLeader('propose', TABLE_GROUP, payload) as Promise<EditAnswer>;
  }

  /** Proposes a command on orders. */
  proposeOrder(command: OrderCommand): Promise<OrderAnswer> {
    const payload = { group: TABLE_GROUP, command };
    return this.callLeader('propose', TABLE_GROUP, payload) as Promise<OrderAnswer>;
  }

  /** Returns a job; undefined if the workspace has no job with this id. */
  job(group: number, jobId: string, workspace: string): Promise<JobView | undefined> {
    return this.query(group, { type: 'job', jobId, workspace }) as Promise<JobView | undefined>;
  }

  /** Returns the jobs of a workspace in one group. */
  jobs(group: number, workspace: string): Promise<JobView[]> {
    return this.query(group, { type: 'jobs', workspace }) as Promise<JobView[]>;
  }

  /** Returns a page of results; undefined if there is no such job. */
  results(
    group: number,
    page: { jobId: string; workspace: string; fromIndex: number; maxBytes: number },
  ): Promise<ResultsPage | undefined> {
    return this.query(group, { type: 'results', ...page }) as Promise<ResultsPage | undefined>;
  }

  /** Returns the demand of the waiting items of a group, by service. */
  demand(group: number): Promise<ServiceDemand[]> {
    return this.query(group, { type: 'demand' }) as Promise<ServiceDemand[]>;
  }

  /** Returns the changes of the table since a revision. */
  table(fromRevision: number): Promise<TableDelta> {
    return this.query(TABLE_GROUP, { type: 'table', fromRevision }) as Promise<TableDelta>;
  }

  /** Returns at which entries a revision of the table is in force. */
  inForce(revision: number): Promise<RevisionReport> {
    return this.query(TABLE_GROUP, { type: 'inForce', revision }) as Promise<RevisionReport>;
  }

  /** Returns all stored orders. */
  orders(): Promise<Order[]> {
    return this.query(TABLE_GROUP, { type: 'orders' }) as Promise<Order[]>;
  }

  /** Confirms the table revision of an entry and returns the newer changes. */
  refresh(status: EntryStatus, timeoutMs: number): Promise<RefreshAnswer> {
    return this.callLeader('refresh', TABLE_GROUP, status, timeoutMs) as Promise<RefreshAnswer>;
  }

  /** Renews item leases; returns the ids of the leases that are no longer open. */
  renew(group: number, owner: string, leaseIds: readonly string[]): Promise<string[]> {
    const payload = { group, owner, leaseIds };
    return this.callLeader('renew', group, payload) as Promise<string[]>;
  }

  /** Returns the status of every control instance that replies. */
  async statuses(): Promise<ControlStatus[]> {
    const replies = this.ports.map(async (port) => {
      try {
        return (await port.call('status', {}, 1000)) as ControlStatus;
      } catch {
        return undefined;
      }
    });
    const statuses = await Promise.all(replies);
    return statuses.filter((status) => status !== undefined);
  }

  /** Closes the connections. */
  close(): void {
    for (const port of this.ports) port.close();
  }

  private query(group: number, query: Query): Promise<unknown> {
    return this.callLeader('query', group, { group, query });
  }

  private callAny(method: ControlMethod, payload: unknown): Promise<unknown> {
    return this.callLeader(method, -1, payload);
  }

  private callLeader(
    method: ControlMethod,
    group: number,
    payload: unknown,
    timeoutMs = this.timeoutMs,
  ): Promise<unknown> {
    return this.caller.call(method, group, payload, timeoutMs);
  }
}
