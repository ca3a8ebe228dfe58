/**
 * Decides after each send what happens to a request: send it again, continue its stream at another
 * endpoint, refuse it as not executed, or fail it. A request that an endpoint may have executed is
 * never reported as not executed.
 */
import { match } from 'ts-pattern';
import type { RouteKind } from '@shedline/fleet';

/** Maximum number of sends that were certainly not executed, after which a request is refused. */
const MAX_UNEXECUTED_SENDS = 4;
/** Minimum time left for a further send. */
const MIN_SEND_MS = 20;
/** Time after which a caller should retry a request that endpoints refused to execute. */
const RETRY_AFTER_MS = 250;

/** How one send ended. */
export type SendOutcome =
  /** No byte of the request was sent. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The endpoint stated that it did not execute the request. */
  | { readonly kind: 'refused'; readonly status: number }
  /** Sent, but no usable response arrived: the request may have been executed. */
  | { readonly kind: 'lost'; readonly reason: string; readonly isSilence?: boolean }
  /** The endpoint responded with an error. */
  | { readonly kind: 'failed'; readonly status: number }
  /**
   * The response was truncated. `isSilence`: it was given up because nothing more arrived;
   * `isUnconfirmed`: it was dropped because another incarnation may have sent it.
   */
  | {
      readonly kind: 'brokeOff';
      readonly reason: string;
      readonly isSilence?: boolean;
      readonly isUnconfirmed?: boolean;
    };

/** The next action for a request. */
export type PlanStep =
  | { readonly action: 'send'; readonly resumeAfterEventId: string | undefined }
  /** Refuse: the request was not and will not be executed. */
  | { readonly action: 'refuse'; readonly retryAfterMs: number }
  /** Fail: the request may have been executed. `isTimeout`: its deadline has passed. */
  | { readonly action: 'fail'; readonly isTimeout: boolean }
  /** Forward the endpoint's error response. */
  | { readonly action: 'forwardFailure' }
  /** Abort the response: its beginning was already forwarded to the caller. */
  | { readonly action: 'abort' };

/** Options of {@link RequestPlan}. */
export interface RequestPlanOptions {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  /** Deadline of the request, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  /** Id of the event after which the caller itself wants the stream to resume. */
  readonly resumeAfterEventId?: string;
}

/** State of one request over all its sends. */
export class RequestPlan {
  private readonly options: RequestPlanOptions;
  private executionCount = 0;
  private unexecutedCount = 0;
  private lastEventId: string | undefined;
  private hasResponseBegun = false;
  private mayHaveRun = false;

  constructor(options: RequestPlanOptions) {
    this.options = options;
    this.lastEventId = options.resumeAfterEventId;
  }

  /** Number of sends so far that may have been executed. */
  get executions(): number {
    return this.executionCount;
  }

  /** Whether some endpoint may have executed the request. */
  get isInDoubt(): boolean {
    return this.mayHaveRun;
  }

  /** Whether the request may be sent again if the next send is lost. */
  get mayBeRepeated(): boolean {
    const { kind, isResumable, maxAttempts } = this.options;
    const isRepeatable = kind === 'idempotent' || (kind === 'stream' && isResumable);
    return isRepeatable && this.executionCount + 1 < maxAttempts;
  }

  /** Whether the stream may continue at another endpoint if the next send fails. */
  get mayContinueElsewhere(): boolean {
    return this.options.kind === 'stream' && this.mayBeRepeated;
  }

  /** Returns the time left until the deadline, in whole milliseconds. */
  timeLeftMs(nowMs: number): number {
    return Math.max(0, Math.floor(this.options.deadlineMs - nowMs));
  }

  /** Returns the first step. */
  first(): PlanStep {
    return { action: 'send', resumeAfterEventId: this.lastEventId };
  }

  /**
   * Notes that part of a response was forwarded to the caller; `eventId` is the id of a whole
   * event.
   */
  noteForwarded(eventId: string | undefined): void {
    this.hasResponseBegun = true;
    if (eventId !== undefined) this.lastEventId = eventId;
  }

  /** Returns the step after a send that ended without a complete response. */
  afterSend(outcome: SendOutcome, nowMs: number): PlanStep {
    const mayHaveExecuted = match(outcome)
      .with({ kind: 'notSent' }, { kind: 'refused' }, () => false)
      .otherwise(() => true);
    if (mayHaveExecuted) {
      this.executionCount += 1;
      this.mayHaveRun = true;
    } else {
      this.unexecutedCount += 1;
    }
    if (this.maySendAgain(mayHaveExecuted, nowMs)) {
      return { action: 'send', resumeAfterEventId: this.lastEventId };
    }
    if (outcome.kind === 'failed' && !this.hasResponseBegun) return { action: 'forwardFailure' };
    return this.giveUp(nowMs);
  }

  /**
   * Returns the step for a request that no endpoint can or may execute, or whose deadline has
   * passed.
   */
  giveUp(nowMs: number, retryAfterMs = RETRY_AFTER_MS): PlanStep {
    if (this.hasResponseBegun) return { action: 'abort' };
    if (!this.mayHaveRun) return { action: 'refuse', retryAfterMs };
    return { action: 'fail', isTimeout: this.timeLeftMs(nowMs) === 0 };
  }

  /** Returns the step for a request whose deadline passed while an endpoint executed it. */
  deadlineReached(): PlanStep {
    this.mayHaveRun = true;
    return this.hasResponseBegun ? { action: 'abort' } : { action: 'fail', isTimeout: true };
  }

  private maySendAgain(mayHaveExecuted: boolean, nowMs: number): boolean {
    if (this.timeLeftMs(nowMs) < MIN_SEND_MS) return false;
    if (!mayHaveExecuted) return this.unexecutedCount < MAX_UNEXECUTED_SENDS;
    if (this.executionCount >= this.options.maxAttempts) return false;
    const { kind, isResumable } = this.options;
    if (kind === 'idempotent') return !this.hasResponseBegun;
    // After events without an id, no position is known at which another endpoint could continue.
    const hasPosition = !this.hasResponseBegun || this.lastEventId !== undefined;
    return kind === 'stream' && isResumable && hasPosition;
  }
}
