/**
 * Sends requests to endpoints and reports how each send ended. The request plan decides what an
 * outcome means for the request.
 */
import type { Dispatcher } from 'undici';
import { EndpointConnections } from './endpoint-connections.js';
import type { ConnectionUse } from './endpoint-connections.js';
import { EventFramer } from './event-framer.js';
import type { StreamEvent } from './event-framer.js';
import type { EndpointHead, EndpointProtocol, RawHeaders } from './protocol.js';
import type { SendOutcome } from './request-plan.js';
import { ResponseWatchdog } from './response-watchdog.js';

/** Server name passed to the HTTP client; not used, since connections to endpoints have no TLS. */
const PLACEHOLDER_SERVER_NAME = 'none';
const STATUS_NO_CONTENT = 204;
/** Maximum size of an error response body that is buffered for the caller. */
const MAX_ERROR_BODY_BYTES = 1024 * 1024;

/** A request to one endpoint. */
export interface Send {
  /** Id of the endpoint's incarnation. */
  readonly endpointId: string;
  /** `host:port` of the endpoint. */
  readonly address: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Whether the request may be sent again if this send is lost. */
  readonly mayBeRepeated: boolean;
  /** Whether nothing waits for the parts of the response, which are then read in batches. */
  readonly isBatch?: boolean;
  /** When an unresponsive endpoint is detected; never if omitted. */
  readonly silence?: SilenceRule;
}

/** When an endpoint counts as unresponsive, and what the sender does then. */
export interface SilenceRule {
  /** Time without received bytes. */
  readonly limitMs: number;
  /** `giveUp`: the send fails; `notify`: it continues, and its receiver is notified. */
  readonly action: 'giveUp' | 'notify';
}

/** Callbacks of a send in progress. */
export interface SendReceiver {
  /** Called with the head of a response that will be forwarded. */
  onHead(head: EndpointHead): void;
  /**
   * Called with a part of the body, or with a whole event of an event stream. Returns false to
   * pause until {@link RunningSend.resume}.
   */
  onPart(bytes: Buffer, event: StreamEvent | undefined): boolean;
  /** Called when the endpoint becomes unresponsive, and when bytes are received again. */
  onSilence?(isSilent: boolean): void;
}

/** How a send ended. */
export type SendResult =
  | { readonly kind: 'complete' }
  | { readonly kind: 'stopped' }
  | { readonly kind: 'failure'; readonly head: EndpointHead; readonly body: Buffer }
  | { readonly kind: 'ended'; readonly outcome: SendOutcome };

/** A send in progress. */
export interface RunningSend {
  readonly result: Promise<SendResult>;
  /**
   * Closes the connection, so that the endpoint stops executing the request. What has arrived of a
   * batch response is delivered before.
   */
  stop(): void;
  /** Resumes reading after {@link SendReceiver.onPart} returned false. */
  resume(): void;
}

/** Sends requests to endpoints. */
export interface RequestSender {
  send(send: Send, receiver: SendReceiver): RunningSend;
}

/** Options of {@link EndpointSender}. */
export interface EndpointSenderOptions {
  readonly protocol: EndpointProtocol;
  /** Whether the endpoint of a response without a length ended during it. */
  readonly hasCrashed: (send: Send) => Promise<boolean>;
  /** Called when an endpoint breaks off a response that had begun. */
  readonly onBrokenOff?: (send: Send) => void;
}

/** {@link RequestSender} over HTTP connections. */
export class EndpointSender implements RequestSender {
  private readonly options: EndpointSenderOptions;
  private readonly connections = new EndpointConnections();
  private readonly inFlight = new Map<string, Set<SendHandler>>();

  constructor(options: EndpointSenderOptions) {
    this.options = options;
  }

  /** Starts a send. */
  send(send: Send, receiver: SendReceiver): RunningSend {
    const handler = new SendHandler(this.options, send, receiver, () => {
      this.connections.readBatches(send.address);
    });
    this.track(send.address, handler);
    const options: Dispatcher.DispatchOptions & { readonly servername: string } = {
      method: send.method,
      path: send.path,
      headers: [...send.headers],
      body: send.body.length === 0 ? null : send.body,
      headersTimeout: 0,
      bodyTimeout: 0,
      // Used for TLS only. If omitted, the client checks whether the Host header is an IP address
      // with a regular expression that takes 50 ms to compile at the first request.
      servername: PLACEHOLDER_SERVER_NAME,
    };
    this.connections.dispatch(send.address, options, handler, connectionUseOf(send));
    return handler;
  }

  /**
   * Fails the sends to an address that have received nothing since `sinceMs` on the monotonic
   * clock, because the endpoint there has restarted since; returns their number. During a network
   * partition no reset arrives: a stream that may be executed only once would stay open until its
   * caller's deadline.
   */
  failUnresponsiveSends(address: string, sinceMs: number): number {
    const lost = [...(this.inFlight.get(address) ?? [])].filter(
      (send) => send.lastReceivedAtMs < sinceMs,
    );
    for (const send of lost) send.fail('the endpoint has restarted');
    return lost.length;
  }

  private track(address: string, send: SendHandler): void {
    const sends = this.inFlight.get(address) ?? new Set();
    this.inFlight.set(address, sends.add(send));
    void send.result.then(() => {
      sends.delete(send);
      if (sends.size === 0 && this.inFlight.get(address) === sends) this.inFlight.delete(address);
    });
  }

  /** Closes the connections to an endpoint that no longer exists. */
  closeConnectionsTo(address: string): void {
    this.connections.closeConnectionsTo(address);
  }

  /** Addresses that have connection pools. */
  get addresses(): string[] {
    return this.connections.addresses;
  }

  /** Closes all connections at once, including those with sends in progress. */
  destroy(): Promise<void> {
    return this.connections.destroy();
  }
}

/** Handles the connection events of one send. */
class SendHandler implements Dispatcher.DispatchHandler, RunningSend {
  readonly result: Promise<SendResult>;
  /** When bytes were last received, or the send started; on the monotonic clock. */
  lastReceivedAtMs = performance.now();
  private readonly options: EndpointSenderOptions;
  private readonly request: Send;
  private readonly receiver: SendReceiver;
  /**
   * Reads the batch connections to the endpoint. If the endpoint has ended, all its responses are then
   * found to be broken at the same time, which shows that one without a length is truncated.
   */
  private readonly readBatches: () => void;
  private settle: (result: SendResult) => void = () => undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private head: EndpointHead | undefined;
  private framer: EventFramer | undefined;
  private isForwarding = false;
  private isStopped = false;
  private isSettled = false;
  private errorBody: Buffer[] = [];
  private errorBodyBytes = 0;
  private watchdog: ResponseWatchdog | undefined;
  private isReportedSilent = false;

  constructor(
    options: EndpointSenderOptions,
    send: Send,
    receiver: SendReceiver,
    readBatches: () => void,
  ) {
    const { silence } = send;
    this.options = options;
    this.request = send;
    this.receiver = receiver;
    this.readBatches = readBatches;
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    if (silence === undefined) return;
    const { limitMs, action } = silence;
    this.watchdog = new ResponseWatchdog({
      timeoutMs: limitMs,
      onTimeout: () => {
        if (action === 'giveUp') this.failAsSilent(limitMs);
        else this.reportSilence(true);
      },
    });
  }

  stop(): void {
    if (this.request.isBatch !== true) {
      this.stopNow();
      return;
    }
    this.readBatches();
    // The data is read in the next turn of the event loop, and parsed before the one after it.
    setImmediate(() => {
      setImmediate(() => {
        this.stopNow();
      });
    });
  }

  private stopNow(): void {
    // The response may have ended meanwhile, and its connection may be in use again.
    if (this.isSettled) return;
    // Settled before the abort, which is reported as a connection error.
    this.settleWith({ kind: 'stopped' });
    this.abort('the request was stopped');
  }

  resume(): void {
    this.watchdog?.resume();
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isStopped) controller.abort(new Error('the request was stopped'));
  }

  onResponseStart(controller: Dispatcher.DispatchController, statusCode: number): void {
    this.noteReceived();
    if (statusCode < 200) return;
    const raw = (controller as { rawHeaders?: (Buffer | string)[] }).rawHeaders ?? [];
    const head = this.options.protocol.readHead(
      statusCode,
      raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1'))),
    );
    this.head = head;
    const isForeign = head.requestId !== undefined && head.requestId !== this.request.requestId;
    if (isForeign || (head.status < 300 && !head.isSigned)) {
      const reason = isForeign
        ? 'the response belongs to another request'
        : 'the response has no signature';
      this.settleWith({ kind: 'ended', outcome: { kind: 'lost', reason } });
      controller.abort(new Error(reason));
      return;
    }
    if (head.status >= 300) return;
    this.isForwarding = true;
    if (head.isEventStream) this.framer = new EventFramer();
    this.receiver.onHead(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isStopped) return;
    this.noteReceived();
    if (!this.isForwarding) {
      this.appendErrorBody(chunk);
      return;
    }
    let mayContinue = true;
    if (this.framer === undefined) {
      mayContinue = this.receiver.onPart(chunk, undefined);
    } else {
      for (const event of this.framer.push(chunk)) {
        mayContinue = this.receiver.onPart(event.bytes, event) && mayContinue;
      }
    }
    if (mayContinue) return;
    this.watchdog?.pause();
    controller.pause();
  }

  onResponseEnd(): void {
    const { head } = this;
    if (head === undefined) return;
    if (head.endsWithConnection) this.readBatches();
    if (!this.isForwarding && head.isNotExecuted) {
      this.settleWith({ kind: 'ended', outcome: { kind: 'refused', status: head.status } });
      return;
    }
    if ((this.framer?.pendingBytes ?? 0) > 0) {
      this.options.onBrokenOff?.(this.request);
      this.settleAsBroken('the response ended in the middle of an event');
      return;
    }
    const result: SendResult = this.isForwarding
      ? { kind: 'complete' }
      : { kind: 'failure', head, body: Buffer.concat(this.errorBody) };
    if (head.endsWithConnection && this.hasBody(head)) void this.settleUnlessCrashed(result);
    else this.settleWith(result);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const reason = (error as { code?: string }).code ?? error.message;
    this.readBatches();
    if (this.controller === undefined) {
      this.settleWith({ kind: 'ended', outcome: { kind: 'notSent', reason } });
      return;
    }
    // The head of a refusal states that the request was not executed; its body is not needed.
    if (this.head?.isNotExecuted === true) {
      this.settleWith({ kind: 'ended', outcome: { kind: 'refused', status: this.head.status } });
      return;
    }
    if (this.isForwarding && !this.isStopped) this.options.onBrokenOff?.(this.request);
    this.settleAsBroken(reason);
  }

  private noteReceived(): void {
    this.lastReceivedAtMs = performance.now();
    this.watchdog?.reset();
    if (!this.isReportedSilent) return;
    this.reportSilence(false);
    this.watchdog?.resume();
  }

  private reportSilence(isSilent: boolean): void {
    this.isReportedSilent = isSilent;
    this.receiver.onSilence?.(isSilent);
  }

  private appendErrorBody(chunk: Buffer): void {
    this.errorBodyBytes += chunk.length;
    if (this.errorBodyBytes <= MAX_ERROR_BODY_BYTES) this.errorBody.push(Buffer.from(chunk));
  }

  /** Whether the response has a body; without one it ends with its head. */
  private hasBody({ status }: EndpointHead): boolean {
    return this.request.method !== 'HEAD' && status !== STATUS_NO_CONTENT;
  }

  /**
   * Ends a response without a length. The kernel closes the connections of a killed endpoint in
   * order, so the response may be truncated although its connection was not reset.
   */
  private async settleUnlessCrashed(result: SendResult): Promise<void> {
    this.watchdog?.stop();
    if (await this.options.hasCrashed(this.request)) {
      this.settleAsBroken('the endpoint crashed at the end of a response without a length');
    } else {
      this.settleWith(result);
    }
  }

  private settleAsBroken(reason: string): void {
    const kind = this.isForwarding ? 'brokeOff' : 'lost';
    this.settleWith({ kind: 'ended', outcome: { kind, reason } });
  }

  private settleWith(result: SendResult): void {
    this.isSettled = true;
    this.watchdog?.stop();
    this.settle(result);
  }

  /** Fails the send because the endpoint no longer has the request. */
  fail(reason: string): void {
    this.failSend(reason, {});
  }

  private failAsSilent(limitMs: number): void {
    this.failSend(`nothing received for ${limitMs} ms`, { isSilence: true });
  }

  /**
   * Fails the send and closes its connection, as the request may continue at another endpoint
   * afterwards.
   */
  private failSend(reason: string, cause: { readonly isSilence?: boolean }): void {
    const kind = this.isForwarding ? 'brokeOff' : 'lost';
    const outcome: SendOutcome =
      this.controller === undefined ? { kind: 'notSent', reason } : { kind, reason, ...cause };
    this.settleWith({ kind: 'ended', outcome });
    this.abort(reason);
  }

  private abort(reason: string): void {
    this.isStopped = true;
    this.controller?.abort(new Error(reason));
  }
}

function connectionUseOf({ mayBeRepeated, isBatch = false }: Send): ConnectionUse {
  if (!mayBeRepeated) return 'singleUse';
  return isBatch ? 'batch' : 'reusable';
}
