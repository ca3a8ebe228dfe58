/**
 * Executes the plan of one request: waits for an endpoint, sends the request and forwards the
 * response.
 */
import { STOPPING_RETRY_MS } from '@shedline/draining';
import type { EndpointQueue, ChosenEndpoint, QueueTicket } from './endpoint-queue.js';
import type { RunningSend, SendResult, SilenceRule } from './endpoint-sender.js';
import { ContinuationGate } from './continuation-gate.js';
import { ForwardLog } from './forward-log.js';
import type { ForwardEnd, ForwardTask, ForwarderOptions } from './forward-task.js';
import type { Quarantine } from './content-guard.js';
import { GuardedContent } from './guarded-content.js';
import type { EndpointHead } from './protocol.js';
import { RequestPlan } from './request-plan.js';
import type { PlanStep, SendOutcome } from './request-plan.js';

/**
 * Time without received bytes after which a stream continues at another endpoint, as a multiple of
 * the time that callers count as late. Callers abandon a stream after two seconds without an event.
 */
const SILENCE_FACTOR = 2;
const MIN_SILENCE_MS = 500;
/**
 * Lower limit of the time without an event after which callers abandon a stream. The time itself is
 * two seconds, four times the target or eight times the longest pause between events, whichever is
 * longest. When late requests waited for their deadline of 5 s instead, callers abandoned 504 of
 * them after 2 s in one day of overload.
 */
const MIN_CALLER_TIMEOUT_MS = 2000;

/** Number of times that a request is admitted again because its endpoint may not run it. */
const MAX_READMISSIONS = 3;

/** Result of a continued stream whose endpoint may be another incarnation. */
const UNCONFIRMED_RESULT = {
  kind: 'ended',
  outcome: { kind: 'brokeOff', reason: 'the endpoint may have restarted', isUnconfirmed: true },
} as const;

/** Forwards one request until it ends. */
export class ForwardedRequest {
  private readonly options: ForwarderOptions;
  private readonly queue: EndpointQueue;
  private readonly task: ForwardTask;
  private readonly plan: RequestPlan;
  private readonly content: GuardedContent;
  private readonly log: ForwardLog;
  /** Ids of the parts of its prompt that other requests may share. */
  private readonly sharedParts: readonly string[];
  private readonly tried = new Set<string>();
  private readonly startedAtMs: number;
  private isCallerGone = false;
  /** Whether the request must end now, as this process stops. */
  private mustEnd = false;
  private ticket: QueueTicket | undefined;
  private waitedMs = 0;
  private isHeadSent = false;
  /** What wrote the first part of the response, and when. */
  private beginning: { readonly endpointId: string; readonly atMs: number } | undefined;
  /** Software version whose events the caller has; only endpoints of it may continue the stream. */
  private softwareVersion: string | undefined;
  /** Software version to which the guard has restricted the request. */
  private admittedVersion: string | undefined;
  private readmissions = 0;
  private running: RunningSend | undefined;
  private firstPartMs: number | undefined;
  /** Whether the request had passed its target when its endpoint was chosen. */
  private isPastTarget = false;
  /** Whether the send in progress is counted as occupying a slot of its endpoint. */
  private holdsSlot = false;
  private pendingHead: EndpointHead | undefined;

  constructor(options: ForwarderOptions, queue: EndpointQueue, task: ForwardTask) {
    this.options = options;
    this.queue = queue;
    this.task = task;
    this.log = new ForwardLog(options.logger, task);
    this.startedAtMs = options.nowMs();
    this.softwareVersion = task.softwareVersion;
    const { route, request, service, deadlineMs } = task;
    this.sharedParts = options.protocol.sharedPartsOf(request.headers);
    this.content = new GuardedContent({
      guard: options.guard,
      host: route.host,
      request,
      service,
      sharedParts: this.sharedParts,
    });
    this.plan = new RequestPlan({
      kind: route.kind,
      isResumable: route.isResumable,
      maxAttempts: route.maxAttempts,
      deadlineMs,
      ...(request.resumeAfterEventId === undefined
        ? {}
        : { resumeAfterEventId: request.resumeAfterEventId }),
    });
    task.sink.onDisconnect(() => {
      this.isCallerGone = true;
      this.ticket?.leave();
      this.running?.stop();
    });
  }

  /** Ends the request with the best answer that can still be given. */
  end(): void {
    this.mustEnd = true;
    this.ticket?.leave();
    this.running?.stop();
  }

  async run(): Promise<ForwardEnd> {
    const refusal = this.content.needsAdmission ? await this.admit() : undefined;
    let step = refusal ?? this.plan.first();
    while (step.action === 'send') {
      if (this.hasCallerLeft()) return this.close('callerGone');
      if (!this.mayBegin()) {
        step = this.plan.giveUp(this.options.nowMs(), STOPPING_RETRY_MS);
        break;
      }
      const { isWriterCertain } = this;
      const endpoint = isWriterCertain ? await this.findEndpoint() : undefined;
      if (this.hasCallerLeft()) {
        if (endpoint !== undefined) this.releaseSlot(endpoint.endpointId, { kind: 'stopped' });
        return this.close('callerGone');
      }
      if (endpoint === undefined) {
        const { softwareVersion } = this;
        const { resumeAfterEventId } = step;
        if (softwareVersion !== undefined)
          this.log.notContinued({ softwareVersion, resumeAfterEventId, isWriterCertain });
        const retryAfterMs = this.mayBegin()
          ? this.queue.nextSlotInMs(this.task.service)
          : STOPPING_RETRY_MS;
        step = this.plan.giveUp(this.options.nowMs(), retryAfterMs);
        break;
      }
      // A feature may have been quarantined while it waited or after its previous send.
      const quarantine = this.content.quarantineAt(endpoint.softwareVersion);
      if (quarantine !== undefined) {
        this.releaseSlot(endpoint.endpointId, { kind: 'stopped' });
        this.readmissions += 1;
        const isFinal = this.readmissions > MAX_READMISSIONS;
        const verdict = isFinal ? this.refuseQuarantined(quarantine) : await this.admit();
        if (verdict === undefined) continue;
        step = verdict;
        break;
      }
      const result = await this.sendTo(endpoint, step.resumeAfterEventId);
      if (this.hasCallerLeft()) return this.close('callerGone');
      if (result.kind === 'complete') {
        this.task.sink.end();
        return this.close('complete');
      }
      if (result.kind === 'stopped') {
        step = this.plan.deadlineReached();
        break;
      }
      step = this.plan.afterSend(outcomeOf(result), this.options.nowMs());
      if (step.action === 'forwardFailure' && result.kind === 'failure')
        return this.forwardFailure(result);
    }
    return this.hasCallerLeft() ? this.close('callerGone') : this.finish(step);
  }

  /** Asks the guard where the request may be sent; returns the refusal if nowhere. */
  private async admit(): Promise<PlanStep | undefined> {
    const { softwareVersion } = this;
    const admission = await this.content.admit(
      softwareVersion === undefined
        ? this.options.chooser.softwareVersionsOf(this.task.service)
        : [softwareVersion],
    );
    if (!admission.isAdmitted) return this.refuseQuarantined(admission.quarantine);
    this.admittedVersion = admission.softwareVersion;
    return undefined;
  }

  /**
   * Gives up a request with a quarantined feature. If it was not executed yet, its caller is asked to
   * retry after the quarantine.
   */
  private refuseQuarantined(quarantine: Quarantine): PlanStep {
    this.log.quarantined(quarantine);
    return this.plan.giveUp(this.options.nowMs(), quarantine.forMs);
  }

  /** Whether the request may still be sent; a response that has begun is completed. */
  private mayBegin(): boolean {
    if (this.mustEnd) return false;
    return this.isHeadSent || this.task.mayBegin?.() !== false;
  }

  /** Whether the caller has disconnected; checked again after each wait. */
  private hasCallerLeft(): boolean {
    return this.isCallerGone;
  }

  /** Whether the send in progress still occupies a slot; checked again after each wait. */
  private isHoldingSlot(): boolean {
    return this.holdsSlot;
  }

  /** Waits in the queue; returns undefined if the request cannot be served in time. */
  private async findEndpoint(): Promise<ChosenEndpoint | undefined> {
    const { nowMs } = this.options;
    const { service, rank, route, request, deadlineMs, firstAttemptAtMs } = this.task;
    const softwareVersion = this.softwareVersion ?? this.admittedVersion;
    const sinceMs = nowMs();
    this.ticket = this.queue.enter({
      service,
      tried: this.tried,
      // If every endpoint was tried, one that refused the request may have a free slot by now.
      mayRetryTried: !this.plan.isInDoubt,
      rank,
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
      ...(request.workspace === undefined ? {} : { workspace: request.workspace }),
      targetDeadlineMs: this.isHeadSent
        ? sinceMs + route.longestPauseMs
        : firstAttemptAtMs + route.targetMs,
      deadlineMs,
      ...this.streamStartLimit(),
      ...(request.sharedPrompt === undefined ? {} : { prompt: request.sharedPrompt }),
      mayBegin: () => this.mayBegin(),
    });
    const endpoint = await this.ticket.endpoint;
    this.ticket = undefined;
    this.isPastTarget = endpoint?.isPastTarget === true;
    this.waitedMs += nowMs() - sinceMs;
    return endpoint;
  }

  /**
   * Returns the time by which a stream has to start or continue: callers abandon a stream without
   * events long before their deadline.
   */
  private streamStartLimit(): { readonly firstEventDeadlineMs?: number } {
    const { route, arrivedAtMs } = this.task;
    if (route.kind !== 'stream') return {};
    const { targetMs, longestPauseMs } = route;
    const callerTimeoutMs = Math.max(MIN_CALLER_TIMEOUT_MS, 4 * targetMs, 8 * longestPauseMs);
    const sinceMs = this.isHeadSent ? this.options.nowMs() : arrivedAtMs;
    return { firstEventDeadlineMs: sinceMs + callerTimeoutMs };
  }

  /** Releases the slot of an endpoint that the request occupied. */
  private releaseSlot(endpointId: string, result: SendResult, runMs?: number): void {
    this.options.chooser.noteSendEnded(endpointId, result, this.firstPartMs);
    const { isPastTarget } = this;
    this.queue.ended(this.task.service, {
      runMs,
      timeToFirstEventMs: this.firstPartMs,
      isPastTarget,
    });
    this.isPastTarget = false;
  }

  /**
   * Releases the slot of an endpoint that became unresponsive, unless the request may be queued
   * there: the connection or the endpoint has probably failed, though the response may still
   * arrive. If the slot stayed occupied, unresponsive connections would make idle endpoints look
   * full until the deadlines of their requests.
   */
  private releaseSlotOnSilence(endpointId: string): void {
    const { hasBegun } = this;
    if (!hasBegun && this.options.chooser.mayBeQueued(endpointId)) return;
    this.holdsSlot = false;
    const kind = hasBegun ? 'brokeOff' : 'lost';
    this.releaseSlot(endpointId, {
      kind: 'ended',
      outcome: { kind, reason: 'silent', isSilence: true },
    });
  }

  /** Occupies a slot again when the endpoint continues a request whose slot was released. */
  private reclaimSlot(endpointId: string): void {
    if (this.holdsSlot) return;
    this.holdsSlot = true;
    this.options.chooser.noteSendStarted(endpointId);
  }

  private async sendTo(
    endpoint: ChosenEndpoint,
    resumeAfterEventId: string | undefined,
  ): Promise<SendResult> {
    const { sender, protocol, nowMs } = this.options;
    const { request } = this.task;
    const { endpointId, address } = endpoint;
    this.tried.add(endpointId);
    this.holdsSlot = true;
    const knowledge = this.content.knowledgeAt(endpoint.softwareVersion);
    const timeLeftMs = this.plan.timeLeftMs(nowMs());
    this.log.sent(endpoint, {
      send: this.tried.size,
      timeLeftMs,
      resumeAfterEventId,
      sharedParts: this.sharedParts,
    });
    const sentAtMs = nowMs();
    this.firstPartMs = undefined;
    const gate = this.createGate(endpoint, resumeAfterEventId !== undefined);
    const running = sender.send(
      {
        endpointId,
        address,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: protocol.sendHeaders(request, { endpointId, timeLeftMs, resumeAfterEventId }),
        body: request.body,
        mayBeRepeated: this.plan.mayBeRepeated,
        ...this.silenceRule(),
      },
      {
        onHead: (head) => {
          this.pendingHead = head;
          // The head of an event stream is deferred, as another send may still replace the stream
          // before its start.
          if (!head.isEventStream) this.sendHead();
        },
        onPart: (bytes, event) => {
          if (this.firstPartMs === undefined) this.options.chooser.noteResponseStarted(endpointId);
          this.firstPartMs ??= nowMs() - sentAtMs;
          return gate.push(bytes, event);
        },
        onSilence: (isSilent) => {
          this.log.silenceChanged(endpoint, isSilent, this.hasBegun);
          if (isSilent) this.releaseSlotOnSilence(endpointId);
          else this.reclaimSlot(endpointId);
        },
      },
    );
    this.running = running;
    if (this.isCallerGone || this.mustEnd) running.stop();
    const timer = setTimeout(() => {
      running.stop();
    }, timeLeftMs);
    const received = await running.result;
    clearTimeout(timer);
    const result = await this.passThrough(gate, received);
    this.running = undefined;
    if (result.kind === 'complete') this.sendHead();
    const runMs = result.kind === 'complete' ? nowMs() - sentAtMs : undefined;
    if (this.isHoldingSlot()) this.releaseSlot(endpointId, result, runMs);
    const { hasBegun } = this;
    if (result.kind !== 'complete') {
      this.log.sendEnded(endpoint, result, { hasBegun, content: this.content.key });
    }
    this.content.sendEnded(endpoint, result, { ...knowledge, hasBegun });
    return result;
  }

  /** Notes what wrote the first part, before that is passed on. */
  private begin(endpoint: ChosenEndpoint): void {
    if (this.beginning !== undefined) return;
    this.beginning = { endpointId: endpoint.endpointId, atMs: this.options.nowMs() };
    this.task.onFirstEvent?.(endpoint);
    this.softwareVersion ??= endpoint.softwareVersion;
  }

  /** Whether it is known which software version wrote what the caller has. */
  private get isWriterCertain(): boolean {
    const { beginning } = this;
    if (this.task.isOriginCertain?.() === false) return false;
    if (beginning === undefined) return true;
    return this.options.chooser.isWriterCertain(beginning.endpointId, beginning.atMs);
  }

  /** Returns the result of a send once the parts of its response have passed the gate. */
  private async passThrough(gate: ContinuationGate, result: SendResult): Promise<SendResult> {
    if (result.kind === 'complete') return (await gate.complete()) ? result : UNCONFIRMED_RESULT;
    gate.close();
    return gate.isRefused ? UNCONFIRMED_RESULT : result;
  }

  /** Returns what the parts of a response pass; a continued stream waits until its endpoint is confirmed. */
  private createGate(endpoint: ChosenEndpoint, isContinued: boolean): ContinuationGate {
    return new ContinuationGate({
      confirm: () =>
        isContinued ? this.options.chooser.confirmServing(endpoint.endpointId) : undefined,
      forward: (bytes, event) => {
        this.begin(endpoint);
        return this.forwardPart(bytes, event?.id);
      },
      onOpen: () => this.running?.resume(),
      onRefused: () => this.running?.stop(),
    });
  }

  /**
   * Returns the silence rule of the next send. An unresponsive endpoint is given up only for a
   * stream that may continue elsewhere. Other responses arrive whole
   * when the execution ends, so a lack of received bytes before is no sign of a failure.
   */
  private silenceRule(): { readonly silence?: SilenceRule } {
    const { kind, targetMs, longestPauseMs } = this.task.route;
    if (kind !== 'stream') return {};
    const lateMs = Math.max(targetMs, longestPauseMs);
    const limitMs = Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * lateMs);
    return { silence: { limitMs, action: this.plan.mayContinueElsewhere ? 'giveUp' : 'notify' } };
  }

  /**
   * Sends the head once: a stream that continues elsewhere keeps the head of its first endpoint.
   */
  private sendHead(): void {
    if (this.isHeadSent || this.pendingHead === undefined) return;
    this.isHeadSent = true;
    const { status, headers } = this.pendingHead;
    this.task.sink.sendHead(status, headers);
    this.plan.noteForwarded(undefined);
  }

  private forwardPart(bytes: Buffer, eventId: string | undefined): boolean {
    this.sendHead();
    this.plan.noteForwarded(eventId);
    const mayContinue = this.task.sink.write(bytes);
    if (!mayContinue) {
      this.task.sink.onDrain(() => {
        this.running?.resume();
      });
    }
    return mayContinue;
  }

  private forwardFailure(result: SendResult & { kind: 'failure' }): ForwardEnd {
    const { sink } = this.task;
    const { status, headers } = result.head;
    sink.sendHead(status, headers);
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
    if (step.action === 'abort') {
      sink.abort();
      return this.close('cut');
    }
    const isTimeout = step.action === 'fail' && step.isTimeout;
    sink.refuse(isTimeout ? 504 : 502, {});
    return this.close('failed');
  }

  private close(end: ForwardEnd): ForwardEnd {
    const tookMs = this.options.nowMs() - this.startedAtMs;
    const { waitedMs, firstPartMs } = this;
    this.log.ended(end, { sends: this.tried.size, tookMs, waitedMs, firstPartMs });
    return end;
  }

  /** Whether the send in progress has brought any part of a response. */
  private get hasBegun(): boolean {
    return this.firstPartMs !== undefined;
  }
}

function outcomeOf(result: SendResult & { kind: 'failure' | 'ended' }): SendOutcome {
  if (result.kind === 'ended') return result.outcome;
  return { kind: 'failed', status: result.head.status };
}
