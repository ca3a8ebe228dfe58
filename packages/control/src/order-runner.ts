/**
 * Sends orders to endpoints while this instance leads the table group.
 */
import { request } from 'undici';
import type { Order, OrderAnswer, OrderCommand, OrderGate, Orders } from '@shedline/fencing';
import type { Logger } from '@shedline/logger';

/** Options of {@link OrderRunner}. */
export interface OrderRunnerOptions {
  readonly gate: OrderGate;
  readonly orders: Orders;
  readonly propose: (command: OrderCommand) => Promise<OrderAnswer>;
  /** Maximum number of orders in progress. */
  readonly maxConcurrentOrders: number;
  readonly orderTimeoutMs: number;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Executes open orders, one at a time for each endpoint. */
export class OrderRunner {
  private readonly options: OrderRunnerOptions;
  /** Endpoint ids of the orders in progress, by order id. */
  private readonly endpointIdsInProgress = new Map<string, string>();

  constructor(options: OrderRunnerOptions) {
    this.options = options;
  }

  /** Starts the open orders that may be sent now. */
  tick(): void {
    for (const order of this.options.orders.open) {
      if (this.mayStart(order)) void this.execute(order);
    }
  }

  private mayStart(order: Order): boolean {
    const { gate, maxConcurrentOrders, nowMs } = this.options;
    if (this.endpointIdsInProgress.has(order.orderId)) return false;
    if ([...this.endpointIdsInProgress.values()].includes(order.endpointId)) return false;
    if (this.endpointIdsInProgress.size >= maxConcurrentOrders) return false;
    return gate.maySendOrder(nowMs(), order.checksFencing);
  }

  private async execute(order: Order): Promise<void> {
    this.endpointIdsInProgress.set(order.orderId, order.endpointId);
    try {
      await this.sendOnce(order);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const { orderId, endpointId } = order;
      this.options.logger.warn('order failed', { orderId, peer: endpointId, reason });
    } finally {
      this.endpointIdsInProgress.delete(order.orderId);
    }
  }

  private async sendOnce(order: Order): Promise<void> {
    const { gate, propose, nowMs } = this.options;
    const { orderId } = order;
    const fencingNumber = gate.fencingNumber;
    const recorded = await propose({
      type: 'moveOrder',
      orderId,
      fencingNumber,
      state: 'sent',
      detail: '',
    });
    // The lease may have expired while the log was written.
    if (!recorded.ok || !gate.maySendOrder(nowMs(), order.checksFencing)) return;
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
      // Retrying is safe: the endpoint recognises the order by its id and does not repeat it.
      return { state: 'waiting', detail: error instanceof Error ? error.message : String(error) };
    }
  }
}
