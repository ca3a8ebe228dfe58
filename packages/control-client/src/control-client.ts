/**
 * Finds the leader of a group and repeats what may be repeated. Every command carries an
 * identity of its own, so a repeated one changes nothing twice.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { ShedlineError, toShedlineError } from '@shedline/errors';
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
const MAX_ATTEMPT_MS = 3000;
const FIRST_PAUSE_MS = 20;
const MAX_PAUSE_MS = 500;

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
  private readonly leaders = new Map<number, string>();
  private knownGroupCount = 0;
  private nextPort = 0;

  constructor(options: ControlClientOptions) {
    this.ports = options.ports;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
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

  private async callLeader(
    method: ControlMethod,
    group: number,
    payload: unknown,
    timeoutMs = this.timeoutMs,
  ): Promise<unknown> {
    const deadlineMs = performance.now() + timeoutMs;
    let pauseMs = FIRST_PAUSE_MS;
    let ran: 'no' | 'unknown' = 'no';
    for (;;) {
      const port = this.portFor(group);
      const leftMs = deadlineMs - performance.now();
      try {
        return await port.call(method, payload, Math.max(1, Math.min(MAX_ATTEMPT_MS, leftMs)));
      } catch (error) {
        const failure = toShedlineError(error, { step: method, peer: port.name, ran: 'unknown' });
        if (failure.ran !== 'no') ran = 'unknown';
        const final = failure.type !== 'unavailable' || performance.now() + pauseMs > deadlineMs;
        if (final) throw withRan(failure, ran);
        if (!this.follow(group, failure)) {
          await pause(pauseMs);
          pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
        }
      }
    }
  }

  private portFor(group: number): ControlPort {
    const leader = this.leaders.get(group);
    // A call to an instance that is down would wait for it; the others know who leads now.
    const ready = this.ports.filter((port) => port.isReady);
    const usable = ready.length > 0 ? ready : this.ports;
    const known = usable.find((port) => port.name === leader);
    const port = known ?? usable[this.nextPort % usable.length];
    if (port === undefined) {
      const message = 'no control instance is configured; set entry.controls';
      throw new ShedlineError({ type: 'unavailable', message, step: 'call control' });
    }
    return port;
  }

  /** Goes where the failure points; false where it names nobody and a pause is due. */
  private follow(group: number, failure: ShedlineError): boolean {
    const before = this.leaders.get(group);
    const leader = failure.details?.leader;
    const named = this.ports.some((port) => port.name === leader && port.isReady);
    if (typeof leader === 'string' && named && leader !== before) {
      this.leaders.set(group, leader);
      return true;
    }
    this.leaders.delete(group);
    this.nextPort += 1;
    return false;
  }
}

function withRan(failure: ShedlineError, ran: 'no' | 'unknown'): ShedlineError {
  if (failure.ran === ran) return failure;
  return new ShedlineError({ ...failure.toBody(), ran });
}
