/**
 * Tasks of the leader of the table group: tracks which entries have applied which revision, and
 * sends orders to endpoints while a quorum confirms its leadership.
 */
import type { ControlSettings } from '@shedline/config';
import { OrderGate } from '@shedline/fencing';
import type { OrderAnswer, OrderCommand } from '@shedline/fencing';
import type { Logger } from '@shedline/logger';
import { RevisionTracker } from '@shedline/table';
import type { EntryStatus, RevisionReport } from '@shedline/table';
import { sampleEntries } from '@shedline/routing';
import type { GroupHost } from './group-host.js';
import { OrderRunner } from './order-runner.js';
import type { TableGroup } from './state-machine.js';

/** Options of {@link TableLeaderTasks}. */
export interface TableLeaderTasksOptions {
  readonly control: ControlSettings;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly inBackground: (work: Promise<unknown>) => void;
}

/** Tasks for the table group. */
export class TableLeaderTasks {
  private readonly options: TableLeaderTasksOptions;
  private readonly revisions = new RevisionTracker();
  private readonly gate: OrderGate;
  private orderRunner: OrderRunner | undefined;

  constructor(options: TableLeaderTasksOptions) {
    this.options = options;
    const { orderLeaseMs, orderTimeoutMs } = options.control;
    this.gate = new OrderGate({ leaseMs: orderLeaseMs, orderTimeoutMs });
  }

  /** Renews the lease for orders through a quorum and sends waiting orders. */
  tick(host: GroupHost, nowMs: number): void {
    const confirmation = host.confirmLeadership().then(() => {
      this.gate.confirmed(nowMs);
    });
    this.options.inBackground(confirmation);
    this.orderRunner?.tick();
  }

  /** Starts or stops the tasks, when this instance gains or loses leadership. */
  roleChanged(host: GroupHost, machine: TableGroup, memberId: string): void {
    this.revisions.reset(this.options.nowMs());
    this.gate.lost();
    this.orderRunner = undefined;
    if (host.isLeader) this.options.inBackground(this.claimOrders(host, machine, memberId));
  }

  /** Records the status of an entry; returns a sample of the entries whose lease is valid. */
  recordEntryStatus(status: EntryStatus): EntryStatus[] {
    const { nowMs, random } = this.options;
    this.revisions.recordStatus(status, nowMs());
    const live = this.revisions.liveEntries(nowMs());
    return sampleEntries({ live, availabilityZone: status.availabilityZone, random });
  }

  /** Returns which entries have applied a revision. */
  report(revision: number): RevisionReport {
    return this.revisions.report(revision, this.options.nowMs());
  }

  private async claimOrders(host: GroupHost, machine: TableGroup, holder: string): Promise<void> {
    const { control, logger, nowMs } = this.options;
    const command: OrderCommand = { type: 'claimOrders', holder };
    const answer = (await host.propose(command)) as OrderAnswer;
    if (!host.isLeader) return;
    this.gate.acquired(answer.fencingNumber, nowMs());
    this.orderRunner = new OrderRunner({
      gate: this.gate,
      orders: machine.orders,
      propose: (order) => host.propose(order) as Promise<OrderAnswer>,
      maxConcurrentOrders: control.weightStoreLoadsAtOnce,
      orderTimeoutMs: control.orderTimeoutMs,
      logger,
      nowMs,
    });
  }
}
