/**
 * Carries out orders to endpoints while this instance leads the table group.
 */
import { request } from 'undici';
import type { Order, OrderAnswer, OrderCommand, OrderGate, Orders } from '@shedline/fencing';
import type { Logger } from '@shedline/logger';

/** Options of {@link OrderRunner}. */
export interface OrderRunnerOptions {
  readonly gate: OrderGate;
  readonly orders: Orders;
  readonly propose: (command: OrderCommand) => Promise<OrderAnswer>;
  readonly loadsAtOnce: number;
  readonly orderTimeoutMs: number;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Sends waiting orders, one at a time for each endpoint. */
export class OrderRunner {
  private readonly options: OrderRunnerOptions;
  private readonly underWay = new Map<string, string>();

  constructor(options: OrderRunnerOptions) {
    this.options = options;
  }

  /** Looks for orders that may go out now. */
  tick(): void {
    for (const order of this.options.orders.open) {
      if (this.mayStart(order)) void this.carryOut(order);
    }
  }

  private mayStart(order: Order): boolean {
    const { gate, loadsAtOnce, nowMs } = this.options;
    if (this.underWay.has(order.orderId)) return false;
    if ([...this.underWay.values()].includes(order.endpointId)) return false;
    if (this.underWay.size >= loadsAtOnce) return false;
    return gate.mayOrder(nowMs(), order.checksFencing);
  }

  private async carryOut(order: Order): Promise<void> {
    this.underWay.set(order.orderId, order.endpointId);
    try {
      await this.sendOnce(order);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const { orderId, endpointId } = order;
      this.options.logger.warn('order not carried out', { orderId, peer: endpointId, reason });
    } finally {
      this.underWay.delete(order.orderId);
    }
  }

  private async sendOnce(order: Order): Promise<void> {
    const { gate, propose, nowMs } = this.options;
    const { orderId } = order;
    const fencingNumber = gate.fencingNumber;
    const noted = await propose({
      type: 'moveOrder',
      orderId,
      fencingNumber,
      state: 'sent',
      detail: '',
    });
    // The lease may have run out while the log was written.
    if (!noted.ok || !gate.mayOrder(nowMs(), order.checksFencing)) return;
    const { state, detail } = await this.post(order, fencingNumber);
    await propose({ type: 'moveOrder', orderId, fencingNumber, state, detail });
  }

  private async post(
    order: Order,
    fencingNumber: number,
  ): Promise<{ state: 'done' | 'failed' | 'waiting'; detail: string }> {
    const { orderId, kind, subject } = order;
    try {
      const response = await request(new URL('/orders', order.url), {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ orderId, kind, subject, fencingNumber }),
        signal: AbortSignal.timeout(this.options.orderTimeoutMs),
      });
      const detail = await response.body.text();
      return { state: response.statusCode < 300 ? 'done' : 'failed', detail };
    } catch (error) {
      // The endpoint knows the order by its id, so that asking again repeats nothing.
      return { state: 'waiting', detail: error instanceof Error ? error.message : String(error) };
    }
  }
}
