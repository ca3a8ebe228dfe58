/**
 * Replicated state of the orders to endpoints.
 */
import { match } from 'ts-pattern';
import { pack, unpack } from 'msgpackr';

/** Action that an order requests from an endpoint. */
export type OrderKind = 'loadModel' | 'loadAdapter' | 'changeRole';

/** State of an order; `done` and `failed` are final. */
export type OrderState = 'waiting' | 'sent' | 'done' | 'failed';

/** Order with its state. */
export interface Order {
  readonly orderId: string;
  readonly endpointId: string;
  readonly url: string;
  readonly checksFencing: boolean;
  readonly kind: OrderKind;
  /** Model, adapter or role to which the order applies. */
  readonly subject: string;
  readonly state: OrderState;
  readonly fencingNumber: number;
  readonly detail: string;
}

/** Places an order; has no effect if its id is known. */
export interface PlaceOrder {
  readonly type: 'placeOrder';
  readonly order: Omit<Order, 'state' | 'fencingNumber' | 'detail'>;
}

/** Assigns the next fencing number to a holder. */
export interface ClaimOrders {
  readonly type: 'claimOrders';
  readonly holder: string;
}

/** Changes the state of an order; rejected unless the fencing number is the latest. */
export interface MoveOrder {
  readonly type: 'moveOrder';
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly state: 'sent' | 'done' | 'failed' | 'waiting';
  readonly detail: string;
}

/** Command on orders. */
export type OrderCommand = PlaceOrder | ClaimOrders | MoveOrder;

/** Result of a command on orders. */
export interface OrderAnswer {
  readonly ok: boolean;
  readonly fencingNumber: number;
  readonly order?: Order;
}

const MAX_ENDED_ORDERS = 1000;

interface OrdersData {
  readonly fencingNumber: number;
  readonly holder: string;
  readonly orders: readonly Order[];
}

/** Orders and the latest fencing number. */
export class Orders {
  private fencingNumber = 0;
  private holder = '';
  private orders = new Map<string, Order>();

  /** Orders that are waiting or sent. */
  get open(): Order[] {
    return [...this.orders.values()].filter(
      (order) => order.state === 'waiting' || order.state === 'sent',
    );
  }

  /** All orders, including recently ended orders. */
  get all(): Order[] {
    return [...this.orders.values()];
  }

  /** Applies a command. Fencing numbers derive from log indexes, so that they only increase. */
  apply(command: OrderCommand, logIndex: number): OrderAnswer {
    return match(command)
      .with({ type: 'placeOrder' }, (c) => this.place(c))
      .with({ type: 'claimOrders' }, (c) => this.claim(c, logIndex))
      .with({ type: 'moveOrder' }, (c) => this.move(c))
      .exhaustive();
  }

  /** Encodes the state. */
  snapshot(): Uint8Array {
    const data: OrdersData = {
      fencingNumber: this.fencingNumber,
      holder: this.holder,
      orders: this.all,
    };
    return pack(data);
  }

  /** Replaces the state by an encoded state. */
  restore(state: Uint8Array): void {
    const data = unpack(state) as OrdersData;
    this.fencingNumber = data.fencingNumber;
    this.holder = data.holder;
    this.orders = new Map(data.orders.map((order) => [order.orderId, order]));
  }

  private place(command: PlaceOrder): OrderAnswer {
    const known = this.orders.get(command.order.orderId) ?? this.findOpenDuplicate(command.order);
    if (known !== undefined) return this.createResult(true, known);
    const order: Order = { ...command.order, state: 'waiting', fencingNumber: 0, detail: '' };
    this.orders.set(order.orderId, order);
    this.removeOldEndedOrders();
    return this.createResult(true, order);
  }

  /** Returns an open order with the same content, so that it is not placed twice. */
  private findOpenDuplicate(requested: PlaceOrder['order']): Order | undefined {
    return this.open.find(
      (order) =>
        order.endpointId === requested.endpointId &&
        order.kind === requested.kind &&
        order.subject === requested.subject,
    );
  }

  private claim(command: ClaimOrders, logIndex: number): OrderAnswer {
    this.fencingNumber = Math.max(this.fencingNumber + 1, logIndex);
    this.holder = command.holder;
    return this.createResult(true);
  }

  private move(command: MoveOrder): OrderAnswer {
    const order = this.orders.get(command.orderId);
    if (order === undefined) return this.createResult(false);
    if (command.fencingNumber !== this.fencingNumber) return this.createResult(false, order);
    if (order.state === 'done' || order.state === 'failed') return this.createResult(false, order);
    const { state, detail, fencingNumber } = command;
    const updated = { ...order, state, detail, fencingNumber };
    this.orders.set(order.orderId, updated);
    return this.createResult(true, updated);
  }

  private createResult(ok: boolean, order?: Order): OrderAnswer {
    const { fencingNumber } = this;
    return order === undefined ? { ok, fencingNumber } : { ok, fencingNumber, order };
  }

  private removeOldEndedOrders(): void {
    const ended = this.all.filter((order) => order.state === 'done' || order.state === 'failed');
    for (const order of ended.slice(0, Math.max(0, ended.length - MAX_ENDED_ORDERS))) {
      this.orders.delete(order.orderId);
    }
  }
}
