/**
 * Orders to endpoints as replicated state: what is asked for, under way and done.
 */
import { match } from 'ts-pattern';
import { pack, unpack } from 'msgpackr';

/** What an order asks of an endpoint. */
export type OrderKind = 'loadModel' | 'loadAdapter' | 'changeRole';

/** Where an order stands. */
export type OrderState = 'waiting' | 'sent' | 'done' | 'failed';

/** An order with its history. */
export interface Order {
  readonly orderId: string;
  readonly endpointId: string;
  readonly url: string;
  readonly checksFencing: boolean;
  readonly kind: OrderKind;
  /** Model, adapter or role that the order names. */
  readonly subject: string;
  readonly state: OrderState;
  readonly fencingNumber: number;
  readonly detail: string;
}

/** Asks for an order; a resent id changes nothing. */
export interface PlaceOrder {
  readonly type: 'placeOrder';
  readonly order: Omit<Order, 'state' | 'fencingNumber' | 'detail'>;
}

/** Gives the next fencing number to a holder. */
export interface ClaimOrders {
  readonly type: 'claimOrders';
  readonly holder: string;
}

/** Moves an order on; refused for a holder whose fencing number is no longer the newest. */
export interface MoveOrder {
  readonly type: 'moveOrder';
  readonly orderId: string;
  readonly fencingNumber: number;
  readonly state: 'sent' | 'done' | 'failed' | 'waiting';
  readonly detail: string;
}

/** Any command on orders. */
export type OrderCommand = PlaceOrder | ClaimOrders | MoveOrder;

/** Answer to a command on orders. */
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

/** Replicated orders and the newest fencing number. */
export class Orders {
  private fencingNumber = 0;
  private holder = '';
  private orders = new Map<string, Order>();

  /** Orders that are not ended. */
  get open(): Order[] {
    return [...this.orders.values()].filter(
      (order) => order.state === 'waiting' || order.state === 'sent',
    );
  }

  /** All orders remembered. */
  get all(): Order[] {
    return [...this.orders.values()];
  }

  /** Applies a command at a log index; fencing numbers are log indexes and only grow. */
  apply(command: OrderCommand, logIndex: number): OrderAnswer {
    return match(command)
      .with({ type: 'placeOrder' }, (c) => this.place(c))
      .with({ type: 'claimOrders' }, (c) => this.claim(c, logIndex))
      .with({ type: 'moveOrder' }, (c) => this.move(c))
      .exhaustive();
  }

  /** The state as bytes. */
  snapshot(): Uint8Array {
    const data: OrdersData = {
      fencingNumber: this.fencingNumber,
      holder: this.holder,
      orders: this.all,
    };
    return pack(data);
  }

  /** Takes the place of what is here. */
  restore(state: Uint8Array): void {
    const data = unpack(state) as OrdersData;
    this.fencingNumber = data.fencingNumber;
    this.holder = data.holder;
    this.orders = new Map(data.orders.map((order) => [order.orderId, order]));
  }

  private place(command: PlaceOrder): OrderAnswer {
    const known = this.orders.get(command.order.orderId) ?? this.sameUnderWay(command.order);
    if (known !== undefined) return this.answer(true, known);
    const order: Order = { ...command.order, state: 'waiting', fencingNumber: 0, detail: '' };
    this.orders.set(order.orderId, order);
    this.forgetEnded();
    return this.answer(true, order);
  }

  /** The same load asked for twice is one order as long as the first is under way. */
  private sameUnderWay(asked: PlaceOrder['order']): Order | undefined {
    return this.open.find(
      (order) =>
        order.endpointId === asked.endpointId &&
        order.kind === asked.kind &&
        order.subject === asked.subject,
    );
  }

  private claim(command: ClaimOrders, logIndex: number): OrderAnswer {
    this.fencingNumber = Math.max(this.fencingNumber + 1, logIndex);
    this.holder = command.holder;
    return this.answer(true);
  }

  private move(command: MoveOrder): OrderAnswer {
    const order = this.orders.get(command.orderId);
    if (order === undefined) return this.answer(false);
    if (command.fencingNumber !== this.fencingNumber) return this.answer(false, order);
    if (order.state === 'done' || order.state === 'failed') return this.answer(false, order);
    const { state, detail, fencingNumber } = command;
    const moved = { ...order, state, detail, fencingNumber };
    this.orders.set(order.orderId, moved);
    return this.answer(true, moved);
  }

  private answer(ok: boolean, order?: Order): OrderAnswer {
    const { fencingNumber } = this;
    return order === undefined ? { ok, fencingNumber } : { ok, fencingNumber, order };
  }

  private forgetEnded(): void {
    const ended = this.all.filter((order) => order.state === 'done' || order.state === 'failed');
    for (const order of ended.slice(0, Math.max(0, ended.length - MAX_ENDED_ORDERS))) {
      this.orders.delete(order.orderId);
    }
  }
}
