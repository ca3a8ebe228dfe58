/**
 * Sends requests to endpoints and reports how each send ended. The request plan decides what an
 * outcome means for the request.
 */
import type { Dispatcher } from 'undici';
import { CompanionConnections } from './companion-connections.js';
import type { EndVerdict } from './end-verifier.js';
import { EndpointConnections } from './endpoint-connections.js';
import type { ConnectionUse } from './endpoint-connections.js';
import type { StreamEvent } from './event-framer.js';
import type { EndpointHead, EndpointProtocol, RawHeaders } from './protocol.js';
import type { SendOutcome } from './request-plan.js';
import { ResponseFraming } from './response-framing.js';
import { SendHandler } from './send-handler.js';

/** Server name passed to the HTTP client; not used, since connections to endpoints have no TLS. */
const PLACEHOLDER_SERVER_NAME = 'none';

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
  /** An error response; the body is empty for batch work. */
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
  /** Whether an incarnation of an endpoint has announced that it drains. */
  readonly isLeaving: (endpointId: string) => boolean;
  /**
   * Path of the health check of an incarnation, if it is known. An endpoint that drains is asked for
   * it after a response without a length.
   */
  readonly healthPathOf?: (endpointId: string) => string | undefined;
  /** Called with what is known of the endpoint after the end of a response without a length. */
  readonly onUnframedEnd?: (send: Send, verdict: EndVerdict) => void;
}

/** {@link RequestSender} over HTTP connections. */
export class EndpointSender implements RequestSender {
  private readonly options: EndpointSenderOptions;
  private readonly connections = new EndpointConnections();
  private readonly companions = new CompanionConnections();
  private readonly framing = new ResponseFraming();
  private readonly inFlight = new Map<string, Set<SendHandler>>();

  constructor(options: EndpointSenderOptions) {
    this.options = options;
  }

  /** Starts a send. */
  send(send: Send, receiver: SendReceiver): RunningSend {
    const handler = this.createHandler(send, receiver);
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

  /**
   * Returns since when the process at an address is known to be the same, on the monotonic clock: since
   * the oldest response that is still in progress there began. Infinity if there is none.
   */
  sameProcessSinceMs(address: string): number {
    const sends = [...(this.inFlight.get(address) ?? [])];
    return Math.min(...sends.map(({ openSinceMs }) => openSinceMs));
  }

  private createHandler(request: Send, receiver: SendReceiver): SendHandler {
    const { protocol, isLeaving, healthPathOf, onUnframedEnd } = this.options;
    const { endpointId, address } = request;
    return new SendHandler({
      protocol,
      request,
      receiver,
      companions: this.companions,
      framing: this.framing,
      readBatches: () => {
        this.connections.readBatches(address);
      },
      isLeaving: () => isLeaving(endpointId),
      healthPath: () => healthPathOf?.(endpointId),
      otherResponses: () =>
        [...(this.inFlight.get(address) ?? [])]
          .filter((other) => other.isAt(endpointId) && other.isResponding)
          .map(({ accompanied }) => accompanied),
      onVerified: (verdict) => onUnframedEnd?.(request, verdict),
    });
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
    this.framing.forget(address);
    this.companions.forget(address);
  }

  /** Addresses that have connection pools. */
  get addresses(): string[] {
    return this.connections.addresses;
  }

  /** Closes all connections at once, including those with sends in progress. */
  destroy(): Promise<void> {
    this.companions.destroy();
    return this.connections.destroy();
  }
}

function connectionUseOf({ mayBeRepeated, isBatch = false }: Send): ConnectionUse {
  if (!mayBeRepeated) return 'singleUse';
  return isBatch ? 'batch' : 'reusable';
}
