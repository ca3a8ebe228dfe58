/**
 * One connection to an endpoint that accompanies requests there.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { connectOptionsOf } from './endpoint-address.js';
import { CONNECT_TIMEOUT_MS } from './endpoint-connections.js';

/**
 * Start of a response, but of those that a server may send without a request, such as after its idle
 * timeout.
 */
const HEALTH_CHECK_RESPONSE = /^HTTP\/1\.[01] (?!40[08])\d{3}/;
/** Length of the start of a response that includes its status. */
const STATUS_END = 'HTTP/1.1 200'.length;

/** Options of {@link Companion}. */
export interface CompanionOptions {
  readonly address: string;
  /** Time for which it stays open without a user, at an age. */
  readonly unusedMs: (ageMs: number) => number;
  /** Called once, with whether the endpoint closed it in order. */
  readonly onClosed: (isByEndpoint: boolean) => void;
}

/** What a request is told of a companion that it uses. */
export interface CompanionUser {
  /** Whether its response goes on; such a response needs a companion without a health check. */
  readonly isInProgress: boolean;
  /** Called when the endpoint has accepted the connection. */
  onOpen(companion: Companion): void;
  onClosed(companion: Companion): void;
  /** Called when the endpoint has responded to {@link Companion.sendHealthCheck}. */
  onResponse(companion: Companion): void;
}

/** A connection that carries nothing but, at its end, a health check. */
export class Companion {
  isClosed = false;
  private readonly options: CompanionOptions;
  private readonly createdAtMs = performance.now();
  private openedAtMs: number | undefined;
  private checkedAtMs: number | undefined;
  private readonly socket: Socket;
  private readonly users = new Set<CompanionUser>();
  private idleTimer: NodeJS.Timeout | undefined;
  /** What has been received, up to its status. */
  private received = '';

  constructor(options: CompanionOptions) {
    this.options = options;
    this.socket = connect(connectOptionsOf(options.address));
    this.socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      this.close();
    });
    this.socket.once('connect', () => {
      this.openedAtMs = performance.now();
      this.socket.setTimeout(0);
      for (const user of this.users) user.onOpen(this);
    });
    this.socket.once('end', () => {
      this.close({ isByEndpoint: true });
    });
    this.socket.once('error', () => {
      this.close();
    });
    // Without reads, the end of the connection goes unnoticed.
    this.socket.on('data', (bytes: Buffer) => {
      this.onData(bytes);
    });
  }

  /** Whether the connection has carried nothing. */
  get isUnused(): boolean {
    return this.checkedAtMs === undefined && this.received === '';
  }

  /**
   * Sends the request of a health check, once, unless the connection accompanies a response in progress:
   * an endpoint may close the connection after it has responded, and one that drains does not exit
   * before that response ends. Returns whether a response will show that the process was alive since `endedAtMs`.
   */
  sendHealthCheck(request: string, endedAtMs: number): boolean {
    const isInUse = [...this.users].some(({ isInProgress }) => isInProgress);
    if (this.isUnused && this.isOpen && !this.isClosed && !isInUse) {
      this.checkedAtMs = performance.now();
      this.socket.write(request);
    }
    return this.isCheckedSince(endedAtMs);
  }

  /** Whether {@link sendHealthCheck} has sent its request at or after a time. */
  isCheckedSince(timeMs: number): boolean {
    return this.checkedAtMs !== undefined && this.checkedAtMs >= timeMs;
  }

  get isOpen(): boolean {
    return this.openedAtMs !== undefined;
  }

  get ageMs(): number {
    return performance.now() - this.createdAtMs;
  }

  /** Time since the endpoint accepted it. */
  get openForMs(): number {
    return performance.now() - (this.openedAtMs ?? Infinity);
  }

  add(user: CompanionUser): void {
    clearTimeout(this.idleTimer);
    this.users.add(user);
  }

  remove(user: CompanionUser): void {
    if (!this.users.delete(user) || this.users.size > 0 || this.isClosed) return;
    this.idleTimer = setTimeout(() => {
      this.close();
    }, this.options.unusedMs(this.ageMs));
  }

  close({ isByEndpoint = false }: { readonly isByEndpoint?: boolean } = {}): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.idleTimer);
    this.socket.destroy();
    this.options.onClosed(isByEndpoint);
    for (const user of this.users) user.onClosed(this);
  }

  private onData(bytes: Buffer): void {
    const isStatusKnown = this.received.length === STATUS_END;
    this.received = (this.received + bytes.toString('latin1', 0, STATUS_END)).slice(0, STATUS_END);
    if (isStatusKnown || this.checkedAtMs === undefined) return;
    if (!HEALTH_CHECK_RESPONSE.test(this.received)) return;
    for (const user of this.users) user.onResponse(this);
  }
}
