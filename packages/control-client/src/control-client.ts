/**
 * Calls of entries and tools to the control instances of a fleet with listed peers.
 */
import { TABLE_GROUP, groupOf } from '@shedline/types';
import type { JobView } from '@shedline/types';
import type { JobGroupAnswer, ServiceDemand } from '@shedline/jobs';
import type { Order, OrderAnswer, OrderCommand } from '@shedline/fencing';
import type {
  EditAnswer,
  EntryStatus,
  InForceReport,
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
  /** Longest time that one call tries for. */
  readonly timeoutMs?: number;
}

/** Calls to whichever control instance leads a group. */
export class ControlClient {
  private readonly ports: readonly ControlPort[];
  private readonly timeoutMs: number;
  private readonly caller: LeaderCaller;
  private knownGroupCount = 0;

  constructor(options: ControlClientOptions) {
    this.ports = options.ports;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.caller = new LeaderCaller({ ports: () => this.ports });
  }

  /** Number of job groups; asked for once. */
  async groupCount(): Promise<number> {
    if (this.knownGroupCount === 0) {
      this.knownGroupCount = (await this.callAny('groups', {})) as number;
    }
    return this.knownGroupCount;
  }

  /** The group of a key. */
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

  /** A job; undefined where the workspace has none by this id. */
  job(group: number, jobId: string, workspace: string): Promise<JobView | undefined> {
    return this.query(group, { type: 'job', jobId, workspace }) as Promise<JobView | undefined>;
  }

  /** The jobs of a workspace in one group. */
  jobs(group: number, workspace: string): Promise<JobView[]> {
    return this.query(group, { type: 'jobs', workspace }) as Promise<JobView[]>;
  }

  /** A page of results. */
  results(
    group: number,
    page: { jobId: string; workspace: string; fromIndex: number; maxBytes: number },
  ): Promise<ResultsPage | undefined> {
    return this.query(group, { type: 'results', ...page }) as Promise<ResultsPage | undefined>;
  }

  /** What waits in a group. */
  demand(group: number): Promise<ServiceDemand[]> {
    return this.query(group, { type: 'demand' }) as Promise<ServiceDemand[]>;
  }

  /** The table since a revision. */
  table(fromRevision: number): Promise<TableDelta> {
    return this.query(TABLE_GROUP, { type: 'table', fromRevision }) as Promise<TableDelta>;
  }

  /** Where a revision is in force. */
  inForce(revision: number): Promise<InForceReport> {
    return this.query(TABLE_GROUP, { type: 'inForce', revision }) as Promise<InForceReport>;
  }

  /** All orders remembered. */
  orders(): Promise<Order[]> {
    return this.query(TABLE_GROUP, { type: 'orders' }) as Promise<Order[]>;
  }

  /** Confirms the revision of an entry and gets what is newer. */
  refresh(status: EntryStatus, timeoutMs: number): Promise<RefreshAnswer> {
    return this.callLeader('refresh', TABLE_GROUP, status, timeoutMs) as Promise<RefreshAnswer>;
  }

  /** Renews item leases; answers those that are no longer open. */
  renew(group: number, owner: string, leaseIds: readonly string[]): Promise<string[]> {
    const payload = { group, owner, leaseIds };
    return this.callLeader('renew', group, payload) as Promise<string[]>;
  }

  /** State of every control instance that answers. */
  async statuses(): Promise<ControlStatus[]> {
    const answers = this.ports.map(async (port) => {
      try {
        return (await port.call('status', {}, 1000)) as ControlStatus;
      } catch {
        return undefined;
      }
    });
    const statuses = await Promise.all(answers);
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
