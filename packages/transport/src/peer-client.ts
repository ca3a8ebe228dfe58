/**
 * Keeps one connection to another instance and opens it again when it breaks.
 */
import { WebSocket } from 'ws';
import { ShedlineError } from '@shedline/errors';
import { Link } from './link.js';
import type { LinkHandlers, LinkLoss } from './link.js';
import type { LinkUse } from './link-silence.js';

/** Pause before a lost connection is opened again, doubled with each failure. */
const FIRST_RETRY_MS = 50;
const MAX_RETRY_MS = 1000;
const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_REQUEST_TIMEOUT_MS = 5000;

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  /** Name of this instance. */
  readonly name: string;
  /** Name of the peer, for errors. */
  readonly peerName: string;
  readonly url: string;
  readonly secret: string;
  /** Own IP number to connect from; the system chooses where it is left out. */
  readonly localAddress?: string;
  readonly handlers?: Partial<LinkHandlers>;
  /** How soon silence of the peer has to be noticed; `usual` where it is left out. */
  readonly use?: LinkUse;
  /** Pause before a lost connection is opened again. */
  readonly firstRetryMs?: number;
  readonly onReady?: () => void;
  /** Called when a connection that was up is not any more, but for {@link PeerClient.close}. */
  readonly onLost?: (loss: LinkLoss) => void;
}

/** A lasting connection to a peer. */
export class PeerClient {
  readonly peerName: string;
  private readonly options: PeerClientOptions;
  private link: Link | undefined;
  private closed = false;
  private retryMs: number;
  private retryTimer: NodeJS.Timeout | undefined;
  private waiters: (() => void)[] = [];
  private earlierBytes = 0;

  constructor(options: PeerClientOptions) {
    this.options = options;
    this.peerName = options.peerName;
    this.retryMs = this.firstRetryMs;
    this.open();
  }

  /** Whether messages would go out now. */
  get isReady(): boolean {
    return this.link?.isReady === true;
  }

  /** Whether the connection is lost and waits to be opened again. */
  get isDown(): boolean {
    return this.link === undefined;
  }

  /** Bytes sent to the peer so far. */
  get sentBytes(): number {
    return this.earlierBytes + (this.link?.sentBytes ?? 0);
  }

  /** Sends a one-way message; it is dropped while there is no connection. */
  send(method: string, payload: unknown): void {
    this.link?.send(method, payload);
  }

  /** Sends a request; waits for a connection within the time-out. */
  async request(
    method: string,
    payload: unknown,
    timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const startedMs = performance.now();
    if (!this.isReady) await this.waitUntilReady(timeoutMs);
    const link = this.link;
    if (link?.isReady !== true) throw this.notConnected(method);
    const leftMs = Math.max(1, timeoutMs - (performance.now() - startedMs));
    return link.request(method, payload, leftMs);
  }

  /** Closes for good. */
  close(): void {
    this.closed = true;
    clearTimeout(this.retryTimer);
    this.link?.terminate();
    this.wake();
  }

  private get firstRetryMs(): number {
    return this.options.firstRetryMs ?? FIRST_RETRY_MS;
  }

  private open(): void {
    if (this.closed) return;
    const { localAddress } = this.options;
    const socket = new WebSocket(this.options.url, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    const { handlers, use } = this.options;
    const link = new Link({
      socket,
      ...(use === undefined ? {} : { use }),
      name: this.options.name,
      secret: this.options.secret,
      handlers: {
        onRequest: (method, payload, from) => {
          if (handlers?.onRequest === undefined) return Promise.reject(this.notConnected(method));
          return handlers.onRequest(method, payload, from);
        },
        onMessage: (method, payload, from) => handlers?.onMessage?.(method, payload, from),
      },
      onReady: () => {
        this.onReady();
      },
      onClosed: () => {
        this.onClosed();
      },
    });
    this.link = link;
    socket.on('open', () => {
      link.start();
    });
  }

  private onReady(): void {
    this.retryMs = this.firstRetryMs;
    this.wake();
    this.options.onReady?.();
  }

  private onClosed(): void {
    this.earlierBytes += this.link?.sentBytes ?? 0;
    const loss = this.link?.loss;
    this.link = undefined;
    if (this.closed) return;
    if (loss !== undefined) this.options.onLost?.(loss);
    this.retryTimer = setTimeout(() => {
      this.open();
    }, this.retryMs);
    this.retryMs = Math.min(this.retryMs * 2, MAX_RETRY_MS);
  }

  private waitUntilReady(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private wake(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }

  private notConnected(step: string): ShedlineError {
    const peer = this.peerName;
    const message = `${peer} is not connected`;
    return new ShedlineError({ type: 'unavailable', message, step, peer, ran: 'no' });
  }
}
