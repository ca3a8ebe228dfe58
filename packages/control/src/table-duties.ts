/**
 * What the leader of the table group does: knows where revisions are in force and gives orders
 * to endpoints while a quorum confirms it.
 */
import type { ControlSettings } from '@shedline/config';
import { OrderGate } from '@shedline/fencing';
import type { OrderAnswer, OrderCommand } from '@shedline/fencing';
import type { Logger } from '@shedline/logger';
import { InForceTracker } from '@shedline/table';
import type { EntryStatus, InForceReport } from '@shedline/table';
import { sampleEntries } from '@shedline/routing';
import type { GroupHost } from './group-host.js';
import { OrderRunner } from './order-runner.js';
import type { TableGroup } from './state-machine.js';

/** Options of {@link TableDuties}. */
export interface TableDutiesOptions {
  readonly control: ControlSettings;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly inBackground: (work: Promise<unknown>) => void;
}

/** Duties towards the table group. */
export class TableDuties {
  private readonly options: TableDutiesOptions;
  private readonly inForce = new InForceTracker();
  private readonly gate: OrderGate;
  private orderRunner: OrderRunner | undefined;

  constructor(options: TableDutiesOptions) {
    this.options = options;
    const { orderLeaseMs, orderTimeoutMs } = options.control;
    this.gate = new OrderGate({ leaseMs: orderLeaseMs, orderTimeoutMs });
  }

  /** Lets a quorum confirm the lease, and sends orders that wait. */
  tick(host: GroupHost, nowMs: number): void {
    const confirmed = host.confirmLeadership().then(() => {
      this.gate.confirmed(nowMs);
    });
    this.options.inBackground(confirmed);
    this.orderRunner?.tick();
  }

  /** Begins or ends the duties. */
  roleChanged(host: GroupHost, machine: TableGroup, memberId: string): void {
    this.inForce.becameLeader(this.options.nowMs());
    this.gate.lost();
    this.orderRunner = undefined;
    if (host.isLeading) this.options.inBackground(this.claimOrders(host, machine, memberId));
  }

  /** Takes what an entry says of itself; gives some of the entries that hold their lease. */
  hear(status: EntryStatus): EntryStatus[] {
    const { nowMs, random } = this.options;
    this.inForce.hear(status, nowMs());
    const live = this.inForce.liveEntries(nowMs());
    return sampleEntries({ live, availabilityZone: status.availabilityZone, random });
  }

  /** Where a revision is in force. */
  report(revision: number): InForceReport {
    return this.inForce.report(revision, this.options.nowMs());
  }

  private async claimOrders(host: GroupHost, machine: TableGroup, holder: string): Promise<void> {
    const { control, logger, nowMs } = this.options;
    const command: OrderCommand = { type: 'claimOrders', holder };
    const answer = (await host.propose(command)) as OrderAnswer;
    if (!host.isLeading) return;
    this.gate.acquired(answer.fencingNumber, nowMs());
    this.orderRunner = new OrderRunner({
      gate: this.gate,
      orders: machine.orders,
      propose: (order) => host.propose(order) as Promise<OrderAnswer>,
      loadsAtOnce: control.weightStoreLoadsAtOnce,
      orderTimeoutMs: control.orderTimeoutMs,
      logger,
      nowMs,
    });
  }
}
