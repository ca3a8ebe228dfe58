/**
 * Carries one request through its plan: chooses an endpoint, sends, passes the answer on.
 */
import type { Route } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { RequestSender, RunningSend, SendResult } from './endpoint-sender.js';
import type { CallerRequest, EndpointHead, EndpointProtocol, RawHeaders } from './protocol.js';
import { RequestPlan } from './request-plan.js';
import type { PlanStep, SendOutcome } from './request-plan.js';

/** Longest wait for an endpoint that can take a request, as a share of its target. */
const WAIT_SHARE_OF_TARGET = 0.2;
/**
 * Silence of an endpoint, as a multiple of what callers count as late, after which a stream goes
 * on elsewhere. Callers abandon a stream after two seconds without an event.
 */
const SILENCE_FACTOR = 2;
const MIN_SILENCE_MS = 500;
/** Time between looks for an endpoint. */
const LOOK_INTERVAL_MS = 15;

/** An endpoint chosen for one send. */
export interface ChosenEndpoint {
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  /** Requests that were thought to be under way there, for the log. */
  readonly load: number;
}

/** Knows the endpoints. */
export interface EndpointChooser {
  /** An endpoint that may take a request now, but none of `tried`. */
  choose(service: string, tried: ReadonlySet<string>): ChosenEndpoint | undefined;
  /** A send begins or has ended. */
  began(endpointId: string): void;
  /** `firstPartMs` is the time to the first part of an answer that went well. */
  ended(endpointId: string, result: SendResult, firstPartMs: number | undefined): void;
}

/** Where the answer goes. */
export interface AnswerSink {
  /** `endsWithConnection`: without length or chunks, as {@link EndpointHead} says. */
  head(
    status: number,
    headers: RawHeaders,
    options?: { readonly endsWithConnection?: boolean },
  ): void;
  /** False: wait for {@link onDrain}. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
  /** Breaks the connection: what went out must not look complete. */
  cut(): void;
  /** An answer of shedline's own. */
  refuse(status: number, options: { readonly retryAfterMs?: number }): void;
  /** Called once if the caller goes away before the answer is complete. */
  onGone(listener: () => void): void;
}

/** How a request ended, for counters. */
export type ForwardEnd = 'complete' | 'refused' | 'failed' | 'passedOn' | 'cut' | 'callerGone';

/** Options of {@link Forwarder}. */
export interface ForwarderOptions {
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly chooser: EndpointChooser;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** One request to forward. */
export interface ForwardTask {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: string;
  /** Version of the configuration that chose the route, for the log. */
  readonly version: number;
  /** End of the time that the request has, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  readonly sink: AnswerSink;
}

/** Forwards requests. */
export class Forwarder {
  private readonly options: ForwarderOptions;

  constructor(options: ForwarderOptions) {
    this.options = options;
  }

  /** Carries a request to its end. */
  run(task: ForwardTask): Promise<ForwardEnd> {
    return new Passage(this.options, task).run();
  }
}

/** One request on its way. */
class Passage {
  private readonly options: ForwarderOptions;
  private readonly task: ForwardTask;
  private readonly plan: RequestPlan;
  private readonly tried = new Set<string>();
  private readonly beganMs: number;
  private isGone = false;
  private headSent = false;
  private running: RunningSend | undefined;
  private firstPartMs: number | undefined;
  private pendingHead: EndpointHead | undefined;

  constructor(options: ForwarderOptions, task: ForwardTask) {
    this.options = options;
    this.task = task;
    this.beganMs = options.nowMs();
    const { route, request, deadlineMs } = task;
    this.plan = new RequestPlan({
      kind: route.kind,
      isResumable: route.isResumable,
      maxAttempts: route.maxAttempts,
      deadlineMs,
      ...(request.resumeAfterEventId === undefined
        ? {}
        : { resumeAfterEventId: request.resumeAfterEventId }),
    });
    task.sink.onGone(() => {
      this.isGone = true;
      this.running?.stop();
    });
  }

  async run(): Promise<ForwardEnd> {
    let step = this.plan.first();
    while (step.action === 'send') {
      const endpoint = await this.findEndpoint();
      if (this.hasLeft()) return this.close('callerGone');
      if (endpoint === undefined) {
        step = this.plan.giveUp(this.options.nowMs());
        break;
      }
      const result = await this.sendTo(endpoint, step.resumeAfterEventId);
      if (this.hasLeft()) return this.close('callerGone');
      if (result.kind === 'complete') {
        this.task.sink.end();
        return this.close('complete');
      }
      if (result.kind === 'stopped') {
        step = this.plan.timeUp();
        break;
      }
      step = this.plan.after(outcomeOf(result), this.options.nowMs());
      if (step.action === 'passOn' && result.kind === 'failure') return this.passOn(result);
    }
    return this.finish(step);
  }

  /** Whether the caller has left; asked anew after each wait. */
  private hasLeft(): boolean {
    return this.isGone;
  }

  /** Waits a little for an endpoint; a caller is better served by an early refusal. */
  private async findEndpoint(): Promise<ChosenEndpoint | undefined> {
    const { chooser, nowMs } = this.options;
    const { service, route } = this.task;
    const waitMs = Math.min(route.targetMs * WAIT_SHARE_OF_TARGET, this.plan.timeLeftMs(nowMs()));
    const untilMs = nowMs() + waitMs;
    for (;;) {
      const found = chooser.choose(service, this.tried) ?? this.chooseTriedAgain();
      if (found !== undefined || this.isGone || nowMs() >= untilMs) return found;
      await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL_MS));
    }
  }

  /** Where every endpoint was tried, one that refused may have room by now. */
  private chooseTriedAgain(): ChosenEndpoint | undefined {
    if (this.tried.size === 0 || this.plan.isInDoubt) return undefined;
    return this.options.chooser.choose(this.task.service, new Set());
  }

  private async sendTo(
    endpoint: ChosenEndpoint,
    resumeAfterEventId: string | undefined,
  ): Promise<SendResult> {
    const { sender, protocol, chooser, nowMs } = this.options;
    const { request } = this.task;
    const { endpointId, address } = endpoint;
    this.tried.add(endpointId);
    this.logSend(endpoint, resumeAfterEventId);
    const timeLeftMs = this.plan.timeLeftMs(nowMs());
    const sentAtMs = nowMs();
    this.firstPartMs = undefined;
    chooser.began(endpointId);
    const running = sender.send(
      {
        address,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: protocol.sendHeaders(request, { endpointId, timeLeftMs, resumeAfterEventId }),
        body: request.body,
        ...this.silenceLimit(),
      },
      {
        onHead: (head) => {
          this.pendingHead = head;
          // Only an event stream can still be replaced by another send without its head.
          if (!head.isEventStream) this.sendHead();
        },
        onPart: (bytes, event) => {
          this.firstPartMs ??= nowMs() - sentAtMs;
          return this.pass(bytes, event?.id);
        },
      },
    );
    this.running = running;
    if (this.isGone) running.stop();
    const timer = setTimeout(() => {
      running.stop();
    }, timeLeftMs);
    const result = await running.result;
    clearTimeout(timer);
    this.running = undefined;
    if (result.kind === 'complete') this.sendHead();
    chooser.ended(endpointId, result, this.firstPartMs);
    if (result.kind !== 'complete') this.logEnd(endpoint, result);
    return result;
  }

  /** Only a stream that may go on elsewhere is given up because its endpoint is silent. */
  private silenceLimit(): { readonly silenceLimitMs?: number } {
    const { targetMs, longestPauseMs } = this.task.route;
    if (!this.plan.mayGoOnElsewhere) return {};
    const lateMs = Math.max(targetMs, longestPauseMs);
    return { silenceLimitMs: Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * lateMs) };
  }

  /** A stream that goes on elsewhere keeps the head of its first endpoint. */
  private sendHead(): void {
    if (this.headSent || this.pendingHead === undefined) return;
    this.headSent = true;
    const { status, headers, endsWithConnection } = this.pendingHead;
    this.task.sink.head(status, headers, { endsWithConnection });
    this.plan.passedOn(undefined);
  }

  private pass(bytes: Buffer, eventId: string | undefined): boolean {
    this.sendHead();
    this.plan.passedOn(eventId);
    const goesOn = this.task.sink.write(bytes);
    if (!goesOn) {
      this.task.sink.onDrain(() => {
        this.running?.resume();
      });
    }
    return goesOn;
  }

  private passOn(result: SendResult & { kind: 'failure' }): ForwardEnd {
    const { sink } = this.task;
    const { status, headers, endsWithConnection } = result.head;
    sink.head(status, headers, { endsWithConnection });
    sink.write(result.body);
    sink.end();
    return this.close('passedOn');
  }

  private finish(step: PlanStep): ForwardEnd {
    const { sink } = this.task;
    if (step.action === 'refuse') {
      sink.refuse(503, { retryAfterMs: step.retryAfterMs });
      return this.close('refused');
    }
    if (step.action === 'cut') {
      sink.cut();
      return this.close('cut');
    }
    const isTimeout = step.action === 'fail' && step.isTimeout;
    sink.refuse(isTimeout ? 504 : 502, {});
    return this.close('failed');
  }

  private close(end: ForwardEnd): ForwardEnd {
    const { request, route, version } = this.task;
    this.options.logger.info('request ended', {
      step: 'forward',
      request: request.requestId,
      route: route.name,
      version,
      outcome: end,
      sends: this.tried.size,
      tookMs: Math.round(this.options.nowMs() - this.beganMs),
      ...(this.firstPartMs === undefined ? {} : { firstPartMs: Math.round(this.firstPartMs) }),
    });
    return end;
  }

  private logSend(endpoint: ChosenEndpoint, resumeAfterEventId: string | undefined): void {
    const { request, version } = this.task;
    this.options.logger.info('request sent', {
      step: 'forward',
      request: request.requestId,
      version,
      endpoint: endpoint.endpointId,
      peer: endpoint.address,
      load: endpoint.load,
      send: this.tried.size,
      timeLeftMs: this.plan.timeLeftMs(this.options.nowMs()),
      ...(resumeAfterEventId === undefined ? {} : { resumeAfterEventId }),
    });
  }

  private logEnd(endpoint: ChosenEndpoint, result: SendResult): void {
    const detail = result.kind === 'ended' ? result.outcome : undefined;
    const reason = detail !== undefined && 'reason' in detail ? detail.reason : undefined;
    this.options.logger.info('send ended without an answer', {
      step: 'forward',
      request: this.task.request.requestId,
      endpoint: endpoint.endpointId,
      peer: endpoint.address,
      outcome: detail?.kind ?? result.kind,
      ...(reason === undefined ? {} : { reason }),
    });
  }
}

function outcomeOf(result: SendResult & { kind: 'failure' | 'ended' }): SendOutcome {
  if (result.kind === 'ended') return result.outcome;
  return { kind: 'failed', status: result.head.status };
}
