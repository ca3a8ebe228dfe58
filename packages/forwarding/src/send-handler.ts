/**
 * Follows one send from its dispatch to its result.
 */
import type { Dispatcher } from 'undici';
import type { CompanionConnections } from './companion-connections.js';
import type { AccompaniedRequest } from './accompanied-request.js';
import { EndVerifier } from './end-verifier.js';
import type { EndVerdict } from './end-verifier.js';
import type { RunningSend, Send, SendReceiver, SendResult } from './endpoint-sender.js';
import { EventFramer } from './event-framer.js';
import type { EndpointHead, EndpointProtocol } from './protocol.js';
import type { SendOutcome } from './request-plan.js';
import type { ResponseFraming } from './response-framing.js';
import { ResponseWatchdog } from './response-watchdog.js';

const STATUS_NO_CONTENT = 204;
/** Maximum size of an error response body, which is buffered; a larger one fails the send. */
const MAX_ERROR_BODY_BYTES = 1024 * 1024;

/** Options of {@link SendHandler}. */
export interface SendHandlerOptions {
  readonly protocol: EndpointProtocol;
  readonly request: Send;
  readonly receiver: SendReceiver;
  readonly companions: CompanionConnections;
  readonly framing: ResponseFraming;
  /** Reads what has arrived on the batch connections to the endpoint. */
  readonly readBatches: () => void;
  readonly isLeaving: () => boolean;
  /** See {@link EndVerifierOptions.healthPath}. */
  readonly healthPath: () => string | undefined;
  /** See {@link EndVerifierOptions.otherResponses}. */
  readonly otherResponses: () => readonly AccompaniedRequest[];
  /** Called with the verdict on a response without a length. */
  readonly onVerified: (verdict: EndVerdict) => void;
}

/** Handles the connection events of one send. */
export class SendHandler implements Dispatcher.DispatchHandler, RunningSend {
  readonly result: Promise<SendResult>;
  /** The request, as far as the watch over its endpoint needs it. */
  readonly accompanied: AccompaniedRequest;
  /** When bytes were last received, or the send started; on the monotonic clock. */
  lastReceivedAtMs = performance.now();
  private readonly options: SendHandlerOptions;
  private readonly request: Send;
  private readonly receiver: SendReceiver;
  private readonly endVerifier: EndVerifier;
  private settle: (result: SendResult) => void = () => undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private head: EndpointHead | undefined;
  private framer: EventFramer | undefined;
  private firstReceivedAtMs = Infinity;
  private isForwarding = false;
  private isPaused = false;
  private readCount = 0;
  /** Whether the response or its connection has ended. */
  private hasEnded = false;
  private isStopped = false;
  private isSettled = false;
  private errorBody: Buffer[] = [];
  private errorBodyBytes = 0;
  private readonly watchdog: ResponseWatchdog | undefined;
  private isReportedSilent = false;

  constructor(options: SendHandlerOptions) {
    const { request, receiver, companions, framing } = options;
    this.options = options;
    this.request = request;
    this.receiver = receiver;
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    this.accompanied = {
      address: request.address,
      isOpen: () => !this.hasEnded && !this.isPaused,
      readCount: () => this.readCount,
      readNow: options.readBatches,
    };
    this.endVerifier = new EndVerifier({
      companions,
      request: this.accompanied,
      isLeaving: options.isLeaving,
      healthPath: options.healthPath,
      otherResponses: options.otherResponses,
    });
    if (framing.mayBeUnframed(request.address, performance.now())) {
      this.endVerifier.accompany(request.mayBeRepeated ? 'beforeSend' : 'beforeConnection');
    }
    this.watchdog = this.createWatchdog();
  }

  /** Whether the send went to an incarnation of an endpoint. */
  isAt(endpointId: string): boolean {
    return this.request.endpointId === endpointId;
  }

  /**
   * Since when the connection is known to be open; Infinity if it has ended, or is not read all the time, so
   * that its end would be noticed late.
   */
  get openSinceMs(): number {
    const isRead = !this.isPaused && this.request.isBatch !== true;
    return this.hasEnded || this.isStopped || !isRead ? Infinity : this.firstReceivedAtMs;
  }

  /** Whether a response is in progress. */
  get isResponding(): boolean {
    return this.isForwarding && !this.hasEnded && !this.isStopped;
  }

  stop(): void {
    if (this.request.isBatch !== true) {
      this.stopNow();
      return;
    }
    this.options.readBatches();
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
    this.isPaused = false;
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
    this.noteFraming(head);
    if (head.status >= 300) return;
    this.isForwarding = true;
    if (head.isEventStream) this.framer = new EventFramer();
    this.receiver.onHead(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // The client passes an empty chunk when it resumes; pausing for it would hold back the end.
    if (this.isStopped || chunk.length === 0) return;
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
    this.isPaused = true;
    this.watchdog?.pause();
    controller.pause();
  }

  onResponseEnd(): void {
    this.hasEnded = true;
    const { head } = this;
    if (head === undefined) return;
    if (head.endsWithConnection) this.options.readBatches();
    if (!this.isForwarding && head.isNotExecuted) {
      this.settleWith({ kind: 'ended', outcome: { kind: 'refused', status: head.status } });
      return;
    }
    if ((this.framer?.pendingBytes ?? 0) > 0) {
      this.settleAsBroken('the response ended in the middle of an event');
      return;
    }
    const result: SendResult = this.isForwarding
      ? { kind: 'complete' }
      : { kind: 'failure', head, body: Buffer.concat(this.errorBody) };
    if (this.isUnframed(head)) void this.settleIfAlive(result);
    else this.settleWith(result);
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.hasEnded = true;
    const reason = (error as { code?: string }).code ?? error.message;
    this.options.readBatches();
    if (this.controller === undefined) {
      this.settleWith({ kind: 'ended', outcome: { kind: 'notSent', reason } });
      return;
    }
    // The head of a refusal states that the request was not executed; its body is not needed.
    if (this.head?.isNotExecuted === true) {
      this.settleWith({ kind: 'ended', outcome: { kind: 'refused', status: this.head.status } });
      return;
    }
    this.settleAsBroken(reason);
  }

  private createWatchdog(): ResponseWatchdog | undefined {
    const { silence } = this.request;
    if (silence === undefined) return undefined;
    const { limitMs, action } = silence;
    return new ResponseWatchdog({
      timeoutMs: limitMs,
      onTimeout: () => {
        if (action === 'giveUp') this.failAsSilent(limitMs);
        else this.reportSilence(true);
      },
    });
  }

  private noteReceived(): void {
    this.lastReceivedAtMs = performance.now();
    this.firstReceivedAtMs = Math.min(this.firstReceivedAtMs, this.lastReceivedAtMs);
    this.readCount += 1;
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
    // Only a caller reads the body: a refusal and a failed item need the status alone.
    if (this.head?.isNotExecuted === true || this.request.isBatch === true) return;
    this.errorBodyBytes += chunk.length;
    if (this.errorBodyBytes <= MAX_ERROR_BODY_BYTES) this.errorBody.push(Buffer.from(chunk));
    else this.fail(`the body of an error response exceeds ${MAX_ERROR_BODY_BYTES} bytes`);
  }

  /** Whether the body has neither a length nor chunks, and so ends with its connection. */
  private isUnframed(head: EndpointHead): boolean {
    return head.endsWithConnection && this.hasBody(head);
  }

  private hasBody({ status }: EndpointHead): boolean {
    return this.request.method !== 'HEAD' && status !== STATUS_NO_CONTENT;
  }

  private noteFraming(head: EndpointHead): void {
    if (!this.hasBody(head) || head.isNotExecuted) return;
    const isUnframed = this.isUnframed(head);
    if (isUnframed) this.endVerifier.accompanyResponse();
    else this.endVerifier.release();
    // An endpoint may state the lengths of its error responses alone.
    if (!isUnframed && head.status >= 300) return;
    this.options.framing.note(this.request.address, isUnframed, performance.now());
  }

  /** Ends a response without a length, which may be truncated although no error was reported. */
  private async settleIfAlive(result: SendResult): Promise<void> {
    this.watchdog?.stop();
    const verdict = await this.endVerifier.verify();
    if (this.isSettled) return;
    this.options.onVerified(verdict);
    if (verdict === 'alive') this.settleWith(result);
    else this.settleAsBroken(`response without a length, endpoint ${verdict} at its end`);
  }

  private settleAsBroken(reason: string): void {
    const kind = this.isForwarding ? 'brokeOff' : 'lost';
    this.settleWith({ kind: 'ended', outcome: { kind, reason } });
  }

  private settleWith(result: SendResult): void {
    this.isSettled = true;
    this.watchdog?.stop();
    this.endVerifier.release();
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
