/**
 * One connection between two instances: one-way messages, and requests with answers.
 */
import { pack, unpack } from 'msgpackr';
import type { WebSocket } from 'ws';
import { ShedlineError, errorFromBody, toShedlineError } from '@shedline/errors';
import type { ErrorBody } from '@shedline/errors';
import { createHello, isProof, proofOf } from './handshake.js';
import type { Hello } from './handshake.js';
import { LinkSilence } from './link-silence.js';
import type { LinkUse } from './link-silence.js';
import { addPeriodicCheck, removePeriodicCheck } from './periodic-checks.js';

/** Unsent bytes at which one-way messages are dropped; the senders repeat what matters. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
const HANDSHAKE_TIMEOUT_MS = 3000;
type Frame =
  | ['hello', Hello]
  | ['proof', string]
  | ['message', string, unknown]
  | ['request', number, string, unknown]
  | ['answer', number, unknown]
  | ['failure', number, ErrorBody];

/** What a link does with what arrives. */
export interface LinkHandlers {
  /** Answers a request; a thrown error goes back to the peer. */
  onRequest(method: string, payload: unknown, link: Link): Promise<unknown>;
  onMessage(method: string, payload: unknown, link: Link): void;
}

/** Why a connection that was up is no longer. */
export interface LinkLoss {
  /** `silent`: nothing was heard for too long, and this side cut it. */
  readonly reason: 'closed' | 'silent';
  /** Time since the peer was last heard. */
  readonly silentMs: number;
}

/** Options of {@link Link}. */
export interface LinkOptions {
  readonly socket: WebSocket;
  readonly name: string;
  readonly secret: string;
  readonly handlers: LinkHandlers;
  /** How soon silence has to be noticed; `usual` where it is left out. */
  readonly use?: LinkUse;
  readonly onReady: (link: Link) => void;
  readonly onClosed: (link: Link) => void;
}

interface WaitingRequest {
  readonly resolve: (payload: unknown) => void;
  readonly reject: (error: ShedlineError) => void;
  readonly timer: NodeJS.Timeout;
  readonly method: string;
  readonly sentAtMs: number;
}

/** One proven connection to a peer. */
export class Link {
  /** Name that the peer gave and proved. */
  peerName = '';
  private readonly socket: WebSocket;
  private readonly options: LinkOptions;
  private readonly ownHello: Hello;
  private otherHello: Hello | undefined;
  private proven = false;
  private nextRequestId = 1;
  private readonly waiting = new Map<number, WaitingRequest>();
  private readonly handshakeTimer: NodeJS.Timeout;
  private sentByteCount = 0;
  private readonly silence: LinkSilence;
  private lossReason: LinkLoss['reason'] = 'closed';

  private readonly look = (): void => {
    this.checkSilence();
  };

  constructor(options: LinkOptions) {
    this.options = options;
    this.socket = options.socket;
    this.silence = new LinkSilence(options.use ?? 'usual', performance.now());
    this.ownHello = createHello(options.name);
    this.socket.binaryType = 'nodebuffer';
    this.socket.on('message', (data: Buffer) => {
      this.silence.heard(performance.now());
      this.onData(data);
    });
    for (const sign of ['ping', 'pong'] as const) {
      this.socket.on(sign, () => {
        this.silence.heard(performance.now());
      });
    }
    this.socket.on('close', () => {
      this.onClosed();
    });
    this.socket.on('error', () => {
      this.socket.terminate();
    });
    this.handshakeTimer = setTimeout(() => {
      if (!this.proven) this.socket.terminate();
    }, HANDSHAKE_TIMEOUT_MS);
  }

  /** Whether both sides have proven the secret and the connection is up. */
  get isReady(): boolean {
    return this.proven && this.socket.readyState === this.socket.OPEN;
  }

  /** Bytes sent so far. */
  get sentBytes(): number {
    return this.sentByteCount;
  }

  /** Why the connection is down; undefined where it never was up. */
  get loss(): LinkLoss | undefined {
    if (!this.proven) return undefined;
    const silentMs = Math.round(this.silence.silentMs(performance.now()));
    return { reason: this.lossReason, silentMs };
  }

  /** Begins the handshake. */
  start(): void {
    this.write(['hello', this.ownHello]);
  }

  /** Sends a one-way message; it is dropped while the connection is congested. */
  send(method: string, payload: unknown): void {
    if (!this.isReady || this.socket.bufferedAmount > MAX_BUFFERED_BYTES) return;
    this.write(['message', method, payload]);
  }

  /** Sends a request and waits for its answer. */
  request(method: string, payload: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      if (!this.isReady) {
        reject(this.failure(method, 'is not connected', 'no'));
        return;
      }
      const requestId = this.nextRequestId;
      this.nextRequestId += 1;
      const timer = setTimeout(() => {
        this.waiting.delete(requestId);
        reject(this.failure(method, `gave no answer in ${timeoutMs} ms`, 'unknown'));
      }, timeoutMs);
      const sentAtMs = performance.now();
      this.waiting.set(requestId, { resolve, reject, timer, method, sentAtMs });
      this.write(['request', requestId, method, payload]);
    });
  }

  /** Closes politely. */
  close(): void {
    this.socket.close();
  }

  /** Cuts the connection. */
  terminate(): void {
    this.socket.terminate();
  }

  private write(frame: Frame): void {
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
    if (!this.proven) {
      this.onHandshake(frame);
      return;
    }
    this.onFrame(frame);
  }

  private onHandshake(frame: Frame): void {
    if (frame[0] === 'hello' && this.otherHello === undefined) {
      this.otherHello = frame[1];
      this.write(['proof', proofOf(this.options.secret, this.ownHello, this.otherHello)]);
      return;
    }
    const other = this.otherHello;
    const right =
      frame[0] === 'proof' &&
      other !== undefined &&
      // A peer that sends our own hello back would otherwise prove itself with our proof.
      other.nonce !== this.ownHello.nonce &&
      isProof(frame[1], proofOf(this.options.secret, other, this.ownHello));
    if (!right) {
      this.socket.terminate();
      return;
    }
    this.proven = true;
    this.peerName = other.name;
    clearTimeout(this.handshakeTimer);
    this.silence.heard(performance.now());
    addPeriodicCheck(this.look);
    this.options.onReady(this);
  }

  private onFrame(frame: Frame): void {
    const { handlers } = this.options;
    if (frame[0] === 'message') handlers.onMessage(frame[1], frame[2], this);
    if (frame[0] === 'request') void this.answer(frame[1], frame[2], frame[3]);
    if (frame[0] === 'answer') this.settle(frame[1])?.resolve(frame[2]);
    if (frame[0] === 'failure') this.settle(frame[1])?.reject(errorFromBody(frame[2]));
  }

  private async answer(requestId: number, method: string, payload: unknown): Promise<void> {
    let frame: Frame;
    try {
      frame = ['answer', requestId, await this.options.handlers.onRequest(method, payload, this)];
    } catch (error) {
      const failure = toShedlineError(error, { step: method, peer: this.options.name });
      frame = ['failure', requestId, failure.toBody()];
    }
    if (this.isReady) this.write(frame);
  }

  private settle(requestId: number): WaitingRequest | undefined {
    const request = this.waiting.get(requestId);
    if (request === undefined) return undefined;
    this.waiting.delete(requestId);
    clearTimeout(request.timer);
    return request;
  }

  /** Cuts a connection that has been silent for too long; a ping asks for a sign of life. */
  private checkSilence(): void {
    const [oldest] = this.waiting.values();
    const step = this.silence.look(performance.now(), oldest?.sentAtMs);
    if (step === 'giveUp') {
      this.lossReason = 'silent';
      this.socket.terminate();
    }
    if (step === 'ask' && this.socket.readyState === this.socket.OPEN) this.socket.ping();
  }

  private onClosed(): void {
    clearTimeout(this.handshakeTimer);
    removePeriodicCheck(this.look);
    for (const requestId of [...this.waiting.keys()]) {
      const request = this.settle(requestId);
      request?.reject(this.failure(request.method, 'closed the connection', 'unknown'));
    }
    this.options.onClosed(this);
  }

  private failure(step: string, what: string, ran: 'no' | 'unknown'): ShedlineError {
    const peer = this.peerName === '' ? 'unproven peer' : this.peerName;
    return new ShedlineError({ type: 'unavailable', message: `${peer} ${what}`, step, peer, ran });
  }
}
