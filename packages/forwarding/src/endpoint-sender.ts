/**
 * Sends one request to one endpoint and reports how it ended. It decides nothing: what an outcome
 * means for the request is up to its plan.
 */
import type { Dispatcher } from 'undici';
import { EndpointConnections } from './endpoint-connections.js';
import { EventFramer } from './event-framer.js';
import type { StreamEvent } from './event-framer.js';
import type { EndpointHead, EndpointProtocol, RawHeaders } from './protocol.js';
import type { SendOutcome } from './request-plan.js';
import { SilenceWatch } from './silence-watch.js';

/** Stands for the name of a server that is not asked for its certificate. */
const NO_SERVER_NAME = 'none';
/** Largest body of a failure that is kept to be passed on. */
const MAX_FAILURE_BYTES = 1024 * 1024;

/** One send. */
export interface Send {
  /** `host:port` of the endpoint. */
  readonly address: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Whether the request may be sent again if this send is lost. */
  readonly mayBeRepeated: boolean;
  /** What to do when the endpoint says nothing for too long; undefined: nothing. */
  readonly silence?: SilenceRule;
}

/** When an endpoint counts as silent, and what follows. */
export interface SilenceRule {
  readonly limitMs: number;
  /** `giveUp`: the send ends; `tell`: it goes on, and its receiver is told. */
  readonly then: 'giveUp' | 'tell';
}

/** What a send hands out while it runs. */
export interface SendReceiver {
  /** The head of an answer that will be passed on. */
  onHead(head: EndpointHead): void;
  /** Part of the body; of an event stream a whole event. False: pause until resumed. */
  onPart(bytes: Buffer, event: StreamEvent | undefined): boolean;
  /** The endpoint has said nothing for too long, or says something again. */
  onSilence?(isSilent: boolean): void;
}

/** How a send ended. */
export type SendResult =
  | { readonly kind: 'complete' }
  | { readonly kind: 'stopped' }
  | { readonly kind: 'failure'; readonly head: EndpointHead; readonly body: Buffer }
  | { readonly kind: 'ended'; readonly outcome: SendOutcome };

/** A send under way. */
export interface RunningSend {
  readonly result: Promise<SendResult>;
  /** Breaks the connection, so that the endpoint stops its work. */
  stop(): void;
  /** Goes on after {@link SendReceiver.onPart} asked for a pause. */
  resume(): void;
}

/** Sends requests to endpoints. */
export interface RequestSender {
  send(send: Send, receiver: SendReceiver): RunningSend;
}

/** Options of {@link EndpointSender}. */
export interface EndpointSenderOptions {
  readonly protocol: EndpointProtocol;
}

/** {@link RequestSender} over HTTP connections. */
export class EndpointSender implements RequestSender {
  private readonly protocol: EndpointProtocol;
  private readonly connections = new EndpointConnections();
  private readonly running = new Map<string, Set<SendHandler>>();

  constructor(options: EndpointSenderOptions) {
    this.protocol = options.protocol;
  }

  /** Begins a send. */
  send(send: Send, receiver: SendReceiver): RunningSend {
    const running = new SendHandler(this.protocol, send, receiver);
    this.follow(send.address, running);
    const options: Dispatcher.DispatchOptions & { readonly servername: string } = {
      method: send.method,
      path: send.path,
      headers: [...send.headers],
      body: send.body.length === 0 ? null : send.body,
      headersTimeout: 0,
      bodyTimeout: 0,
      // For TLS only. Left out, the client looks whether the Host header is an IP number, by an
      // expression that takes 50 ms to compile when the first request comes.
      servername: NO_SERVER_NAME,
    };
    this.connections.dispatch(send.address, options, running, send.mayBeRepeated);
    return running;
  }

  /**
   * Ends the sends to an address from which nothing was heard since `sinceMs`, on the steady clock, as
   * the endpoint there has started again since; gives their number. Behind a cut no reset tells of it: a stream
   * that may run once only would be held until its caller's deadline, though nobody can finish it.
   */
  loseUnheard(address: string, sinceMs: number): number {
    const lost = [...(this.running.get(address) ?? [])].filter((send) => send.heardAtMs < sinceMs);
    for (const send of lost) send.lose('the endpoint has started again');
    return lost.length;
  }

  private follow(address: string, send: SendHandler): void {
    const sends = this.running.get(address) ?? new Set();
    this.running.set(address, sends.add(send));
    void send.result.then(() => {
      sends.delete(send);
      if (sends.size === 0 && this.running.get(address) === sends) this.running.delete(address);
    });
  }

  /** Closes the connections to an endpoint that is gone. */
  forget(address: string): void {
    this.connections.forget(address);
  }

  /** Addresses with connections. */
  get addresses(): string[] {
    return this.connections.addresses;
  }

  /** Breaks all connections. */
  destroy(): Promise<void> {
    return this.connections.destroy();
  }
}

/** Follows one send through the events of its connection. */
class SendHandler implements Dispatcher.DispatchHandler, RunningSend {
  readonly result: Promise<SendResult>;
  /** When the endpoint was last heard, or the send began; on the steady clock. */
  heardAtMs = performance.now();
  private readonly protocol: EndpointProtocol;
  private readonly requestId: string;
  private readonly receiver: SendReceiver;
  private settle: (result: SendResult) => void = () => undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private head: EndpointHead | undefined;
  private framer: EventFramer | undefined;
  private isPassedOn = false;
  private isStopped = false;
  private kept: Buffer[] = [];
  private keptBytes = 0;
  private watch: SilenceWatch | undefined;
  private isToldSilent = false;

  constructor(protocol: EndpointProtocol, send: Send, receiver: SendReceiver) {
    const { requestId, silence } = send;
    this.protocol = protocol;
    this.requestId = requestId;
    this.receiver = receiver;
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    if (silence === undefined) return;
    const { limitMs, then } = silence;
    this.watch = new SilenceWatch({
      limitMs,
      onSilent: () => {
        if (then === 'giveUp') this.silent(limitMs);
        else this.tellSilence(true);
      },
    });
  }

  stop(): void {
    // Settled first: the abort is reported as an error of the connection.
    this.finish({ kind: 'stopped' });
    this.abandon('no longer wanted');
  }

  resume(): void {
    this.watch?.resume();
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isStopped) controller.abort(new Error('no longer wanted'));
  }

  onResponseStart(controller: Dispatcher.DispatchController, statusCode: number): void {
    this.heard();
    if (statusCode < 200) return;
    const raw = (controller as { rawHeaders?: (Buffer | string)[] }).rawHeaders ?? [];
    const head = this.protocol.readHead(
      statusCode,
      raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1'))),
    );
    this.head = head;
    const isForeign = head.requestId !== undefined && head.requestId !== this.requestId;
    if (isForeign || (head.status < 300 && !head.isSigned)) {
      const reason = isForeign ? 'the answer belongs to another request' : 'no signature';
      this.finish({ kind: 'ended', outcome: { kind: 'lost', reason } });
      controller.abort(new Error(reason));
      return;
    }
    if (head.status >= 300) return;
    this.isPassedOn = true;
    if (head.isEventStream) this.framer = new EventFramer();
    this.receiver.onHead(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isStopped) return;
    this.heard();
    if (!this.isPassedOn) {
      this.keep(chunk);
      return;
    }
    let goesOn = true;
    if (this.framer === undefined) {
      goesOn = this.receiver.onPart(chunk, undefined);
    } else {
      for (const event of this.framer.take(chunk)) {
        goesOn = this.receiver.onPart(event.bytes, event) && goesOn;
      }
    }
    if (goesOn) return;
    this.watch?.pause();
    controller.pause();
  }

  onResponseEnd(): void {
    const { head } = this;
    if (head === undefined) return;
    if (this.isPassedOn) {
      const isWhole = (this.framer?.pendingBytes ?? 0) === 0;
      const reason = 'ended in the middle of an event';
      this.finish(
        isWhole ? { kind: 'complete' } : { kind: 'ended', outcome: { kind: 'brokeOff', reason } },
      );
      return;
    }
    if (head.isNotExecuted) {
      this.finish({ kind: 'ended', outcome: { kind: 'refused', status: head.status } });
      return;
    }
    this.finish({ kind: 'failure', head, body: Buffer.concat(this.kept) });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const reason = (error as { code?: string }).code ?? error.message;
    if (this.controller === undefined) {
      this.finish({ kind: 'ended', outcome: { kind: 'notSent', reason } });
      return;
    }
    // A refusal says in its head that nothing ran; the rest of its body adds nothing.
    if (this.head?.isNotExecuted === true) {
      this.finish({ kind: 'ended', outcome: { kind: 'refused', status: this.head.status } });
      return;
    }
    const kind = this.isPassedOn ? 'brokeOff' : 'lost';
    this.finish({ kind: 'ended', outcome: { kind, reason } });
  }

  private heard(): void {
    this.heardAtMs = performance.now();
    this.watch?.heard();
    if (!this.isToldSilent) return;
    this.tellSilence(false);
    this.watch?.resume();
  }

  private tellSilence(isSilent: boolean): void {
    this.isToldSilent = isSilent;
    this.receiver.onSilence?.(isSilent);
  }

  private keep(chunk: Buffer): void {
    this.keptBytes += chunk.length;
    if (this.keptBytes <= MAX_FAILURE_BYTES) this.kept.push(Buffer.from(chunk));
  }

  private finish(result: SendResult): void {
    this.watch?.stop();
    this.settle(result);
  }

  /** The endpoint no longer has the request. */
  lose(reason: string): void {
    this.giveUp(reason, {});
  }

  private silent(limitMs: number): void {
    this.giveUp(`silent for ${limitMs} ms`, { isSilence: true });
  }

  /** Whoever goes on elsewhere relies on the connection being closed by then. */
  private giveUp(reason: string, cause: { readonly isSilence?: boolean }): void {
    const kind = this.isPassedOn ? 'brokeOff' : 'lost';
    const outcome: SendOutcome =
      this.controller === undefined ? { kind: 'notSent', reason } : { kind, reason, ...cause };
    this.finish({ kind: 'ended', outcome });
    this.abandon(reason);
  }

  private abandon(reason: string): void {
    this.isStopped = true;
    this.controller?.abort(new Error(reason));
  }
}
