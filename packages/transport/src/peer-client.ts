/**
 * Client of another process that keeps one connection and reconnects when it is lost.
 */
import { WebSocket } from 'ws';
import { ShedlineError } from '@shedline/errors';
import { Link } from './link.js';
import type { LinkHandlers, LinkLoss } from './link.js';
import type { SilenceDetection } from './link-silence.js';

/** Delay before the first reconnection attempt, doubled with each failure. */
const FIRST_RETRY_MS = 50;
const MAX_RETRY_MS = 1000;
const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_REQUEST_TIMEOUT_MS = 5000;

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  /** Name of this process. */
  readonly name: string;
  /** Name of the peer, for errors. */
  readonly peerName: string;
  readonly url: string;
  readonly secret: string;
  /** Local IP address to connect from; chosen by the system if omitted. */
  readonly localAddress?: string;
  readonly handlers?: Partial<LinkHandlers>;
  /** How soon an unresponsive peer is detected; `normal` if omitted. */
  readonly silenceDetection?: SilenceDetection;
  /** Delay before the first reconnection attempt. */
  readonly firstRetryMs?: number;
  readonly onReady?: () => void;
  /** Called when an established connection was lost, but not after {@link PeerClient.close}. */
  readonly onLost?: (loss: LinkLoss) => void;
}

/** A connection to a peer that is reopened when it is lost. */
export class PeerClient {
  readonly peerName: string;
  private readonly options: PeerClientOptions;
  private link: Link | undefined;
  private isClosed = false;
  private retryMs: number;
  private retryTimer: NodeJS.Timeout | undefined;
  private readyWaiters: (() => void)[] = [];
  private closedLinkBytes = 0;

  constructor(options: PeerClientOptions) {
    this.options = options;
    this.peerName = options.peerName;
    this.retryMs = this.firstRetryMs;
    this.open();
  }

  /** Whether a message would be sent now. */
  get isReady(): boolean {
    return this.link?.isReady === true;
  }

  /** Whether the connection is lost and waits for the next reconnection attempt. */
  get isDown(): boolean {
    return this.link === undefined;
  }

  /** Number of bytes sent to the peer so far. */
  get sentBytes(): number {
    return this.closedLinkBytes + (this.link?.sentBytes ?? 0);
  }

  /** Sends a one-way message; it is dropped while there is no connection. */
  send(method: string, payload: unknown): void {
    this.link?.send(method, payload);
  }

  /** Sends a request; the time-out includes waiting for a connection. */
  async request(
    method: string,
    payload: unknown,
    timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const startedAtMs = performance.now();
    if (!this.isReady) await this.waitUntilReady(timeoutMs);
    const link = this.link;
    if (link?.isReady !== true) throw this.notConnected(method);
    const leftMs = Math.max(1, timeoutMs - (performance.now() - startedAtMs));
    return link.request(method, payload, leftMs);
  }

  /** Closes the connection for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.retryTimer);
    this.link?.terminate();
    this.resolveReadyWaiters();
  }

  private get firstRetryMs(): number {
    return this.options.firstRetryMs ?? FIRST_RETRY_MS;
  }

  private open(): void {
    if (this.isClosed) return;
    const { localAddress } = this.options;
    const socket = new WebSocket(this.options.url, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      ...(localAddress === undefined ? {} : { localAddress }),
    });
    const { handlers, silenceDetection } = this.options;
    const link = new Link({
      socket,
      ...(silenceDetection === undefined ? {} : { silenceDetection }),
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
    this.resolveReadyWaiters();
    this.options.onReady?.();
  }

  private onClosed(): void {
    this.closedLinkBytes += this.link?.sentBytes ?? 0;
    const loss = this.link?.loss;
    this.link = undefined;
    if (this.isClosed) return;
    if (loss !== undefined) this.options.onLost?.(loss);
    this.retryTimer = setTimeout(() => {
      this.open();
    }, this.retryMs);
    this.retryMs = Math.min(this.retryMs * 2, MAX_RETRY_MS);
  }

  private waitUntilReady(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.readyWaiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private resolveReadyWaiters(): void {
    const waiters = this.readyWaiters;
    this.readyWaiters = [];
    for (const waiter of waiters) waiter();
  }

  private notConnected(step: string): ShedlineError {
    const peer = this.peerName;
    const message = `${peer} is not connected`;
    return new ShedlineError({ type: 'unavailable', message, step, peer, ran: 'no' });
  }
}
