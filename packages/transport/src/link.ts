/**
 * One connection between two processes: one-way messages, and requests with replies.
 */
import { pack, unpack } from 'msgpackr';
import type { WebSocket } from 'ws';
import { ShedlineError, errorFromBody, toShedlineError } from '@shedline/errors';
import type { ErrorBody } from '@shedline/errors';
import { createHello, isValidProof, createProof } from './handshake.js';
import type { Hello } from './handshake.js';
import { LinkSilence } from './link-silence.js';
import type { SilenceDetection } from './link-silence.js';
import { addPeriodicCheck, removePeriodicCheck } from './periodic-checks.js';
import { startReplyTimeout } from './reply-timeout.js';

/**
 * Unsent bytes above which one-way messages are dropped; senders repeat the messages that matter.
 */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
const HANDSHAKE_TIMEOUT_MS = 3000;
type Frame =
  | ['hello', Hello]
  | ['proof', string]
  | ['message', string, unknown]
  | ['request', number, string, unknown]
  | ['answer', number, unknown]
  | ['failure', number, ErrorBody];

/** Handlers of received requests and messages. */
export interface LinkHandlers {
  /** Handles a request and resolves with the reply; a thrown error is sent to the peer. */
  onRequest(method: string, payload: unknown, link: Link): Promise<unknown>;
  /** Handles a one-way message. */
  onMessage(method: string, payload: unknown, link: Link): void;
}

/** Why an established connection was lost. */
export interface LinkLoss {
  /** `silent`: nothing was received for too long, and this side terminated the connection. */
  readonly reason: 'closed' | 'silent';
  /** Time since something was last received from the peer. */
  readonly silentMs: number;
}

/** Options of {@link Link}. */
export interface LinkOptions {
  readonly socket: WebSocket;
  readonly name: string;
  readonly secret: string;
  readonly handlers: LinkHandlers;
  /** How soon an unresponsive peer is detected; `normal` if omitted. */
  readonly silenceDetection?: SilenceDetection;
  readonly onReady: (link: Link) => void;
  readonly onClosed: (link: Link) => void;
}

interface PendingRequest {
  readonly resolve: (payload: unknown) => void;
  readonly reject: (error: ShedlineError) => void;
  readonly timer: NodeJS.Timeout;
  readonly method: string;
  readonly sentAtMs: number;
}

/** One connection to a peer, authenticated by the handshake. */
export class Link {
  /** Authenticated name of the peer; empty before the handshake is complete. */
  peerName = '';
  private readonly socket: WebSocket;
  private readonly options: LinkOptions;
  private readonly ownHello: Hello;
  private peerHello: Hello | undefined;
  private isAuthenticated = false;
  private nextRequestId = 1;
  private readonly pendingRequests = new Map<number, PendingRequest>();
  private readonly handshakeTimer: NodeJS.Timeout;
  private sentByteCount = 0;
  private readonly silence: LinkSilence;
  private lossReason: LinkLoss['reason'] = 'closed';

  private readonly runCheck = (): void => {
    this.checkSilence();
  };

  constructor(options: LinkOptions) {
    this.options = options;
    this.socket = options.socket;
    this.silence = new LinkSilence(options.silenceDetection ?? 'normal', performance.now());
    this.ownHello = createHello(options.name);
    this.socket.binaryType = 'nodebuffer';
    this.socket.on('message', (data: Buffer) => {
      this.silence.noteReceived(performance.now());
      this.onData(data);
    });
    for (const event of ['ping', 'pong'] as const) {
      this.socket.on(event, () => {
        this.silence.noteReceived(performance.now());
      });
    }
    this.socket.on('close', () => {
      this.onClosed();
    });
    this.socket.on('error', () => {
      this.socket.terminate();
    });
    this.handshakeTimer = setTimeout(() => {
      if (!this.isAuthenticated) this.socket.terminate();
    }, HANDSHAKE_TIMEOUT_MS);
  }

  /** Whether the handshake is complete and the connection is open. */
  get isReady(): boolean {
    return this.isAuthenticated && this.socket.readyState === this.socket.OPEN;
  }

  /** Number of bytes sent so far. */
  get sentBytes(): number {
    return this.sentByteCount;
  }

  /** Why the connection is down; undefined if its handshake was never completed. */
  get loss(): LinkLoss | undefined {
    if (!this.isAuthenticated) return undefined;
    const silentMs = Math.round(this.silence.silentMs(performance.now()));
    return { reason: this.lossReason, silentMs };
  }

  /** Begins the handshake. */
  start(): void {
    this.sendFrame(['hello', this.ownHello]);
  }

  /** Sends a one-way message; it is dropped while the connection is congested. */
  send(method: string, payload: unknown): void {
    if (!this.isReady || this.socket.bufferedAmount > MAX_BUFFERED_BYTES) return;
    this.sendFrame(['message', method, payload]);
  }

  /** Sends a request and waits for its reply. */
  request(method: string, payload: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      if (!this.isReady) {
        reject(this.createError(method, 'is not connected', 'no'));
        return;
      }
      const requestId = this.nextRequestId;
      this.nextRequestId += 1;
      const timer = startReplyTimeout(timeoutMs, () => {
        this.expire(requestId, timeoutMs);
      });
      const sentAtMs = performance.now();
      this.pendingRequests.set(requestId, { resolve, reject, timer, method, sentAtMs });
      this.sendFrame(['request', requestId, method, payload]);
    });
  }

  /** Closes the connection with a closing handshake. */
  close(): void {
    this.socket.close();
  }

  /** Closes the connection at once. */
  terminate(): void {
    this.socket.terminate();
  }

  private sendFrame(frame: Frame): void {
    const bytes = pack(frame);
    this.sentByteCount += bytes.length;
    this.socket.send(bytes);
  }

  private onData(data: Buffer): void {
    let frame: Frame;
    try {
      frame = unpack(data) as Frame;
    } catch {
      this.socket.terminate();
      return;
    }
    if (!this.isAuthenticated) {
      this.onHandshake(frame);
      return;
    }
    this.onFrame(frame);
  }

  private onHandshake(frame: Frame): void {
    if (frame[0] === 'hello' && this.peerHello === undefined) {
      this.peerHello = frame[1];
      this.sendFrame(['proof', createProof(this.options.secret, this.ownHello, this.peerHello)]);
      return;
    }
    const other = this.peerHello;
    const isValid =
      frame[0] === 'proof' &&
      other !== undefined &&
      // Otherwise a peer that returns our own hello could use our proof as its own.
      other.nonce !== this.ownHello.nonce &&
      isValidProof(frame[1], createProof(this.options.secret, other, this.ownHello));
    if (!isValid) {
      this.socket.terminate();
      return;
    }
    this.isAuthenticated = true;
    this.peerName = other.name;
    clearTimeout(this.handshakeTimer);
    this.silence.noteReceived(performance.now());
    addPeriodicCheck(this.runCheck);
    this.options.onReady(this);
  }

  private onFrame(frame: Frame): void {
    const { handlers } = this.options;
    if (frame[0] === 'message') handlers.onMessage(frame[1], frame[2], this);
    if (frame[0] === 'request') void this.handleRequest(frame[1], frame[2], frame[3]);
    if (frame[0] === 'answer') this.takePendingRequest(frame[1])?.resolve(frame[2]);
    if (frame[0] === 'failure') this.takePendingRequest(frame[1])?.reject(errorFromBody(frame[2]));
  }

  private async handleRequest(requestId: number, method: string, payload: unknown): Promise<void> {
    let frame: Frame;
    try {
      frame = ['answer', requestId, await this.options.handlers.onRequest(method, payload, this)];
    } catch (error) {
      const failure = toShedlineError(error, { step: method, peer: this.options.name });
      frame = ['failure', requestId, failure.toBody()];
    }
    if (this.isReady) this.sendFrame(frame);
  }

  /** Fails a request whose reply has not arrived in time. */
  private expire(requestId: number, timeoutMs: number): void {
    const request = this.takePendingRequest(requestId);
    const problem = `did not reply within ${Math.round(timeoutMs)} ms`;
    request?.reject(this.createError(request.method, problem, 'unknown'));
  }

  private takePendingRequest(requestId: number): PendingRequest | undefined {
    const request = this.pendingRequests.get(requestId);
    if (request === undefined) return undefined;
    this.pendingRequests.delete(requestId);
    clearTimeout(request.timer);
    return request;
  }

  /** Pings an unresponsive peer, and later terminates its connection. */
  private checkSilence(): void {
    const [oldest] = this.pendingRequests.values();
    const action = this.silence.check(performance.now(), oldest?.sentAtMs);
    if (action === 'terminate') {
      this.lossReason = 'silent';
      this.socket.terminate();
    }
    if (action === 'ping' && this.socket.readyState === this.socket.OPEN) this.socket.ping();
  }

  private onClosed(): void {
    clearTimeout(this.handshakeTimer);
    removePeriodicCheck(this.runCheck);
    for (const requestId of [...this.pendingRequests.keys()]) {
      const request = this.takePendingRequest(requestId);
      request?.reject(this.createError(request.method, 'closed the connection', 'unknown'));
    }
    this.options.onClosed(this);
  }

  private createError(step: string, problem: string, ran: 'no' | 'unknown'): ShedlineError {
    const peer = this.peerName === '' ? 'unauthenticated peer' : this.peerName;
    return new ShedlineError({
      type: 'unavailable',
      message: `${peer} ${problem}`,
      step,
      peer,
      ran,
    });
  }
}
