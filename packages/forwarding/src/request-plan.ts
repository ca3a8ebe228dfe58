/**
 * Decides what becomes of a request after each send: send it again, let its stream go on
 * elsewhere, refuse it as not run, or fail it. It never calls a request "not run" that an
 * endpoint may have run.
 */
import { match } from 'ts-pattern';
import type { RouteKind } from '@shedline/fleet';

/** Sends that certainly did not run beyond which a request is refused. */
const MAX_FRUITLESS_SENDS = 4;
/** Least time left that a further send makes sense with. */
const MIN_SEND_MS = 20;
/** When a caller should come back whose request went to endpoints that did not run it, for reasons of their own. */
const RETRY_AFTER_MS = 250;

/** How one send ended. */
export type SendOutcome =
  /** No byte of the request went out. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The endpoint said that it did not run the request. */
  | { readonly kind: 'refused'; readonly status: number }
  /** Sent, but no usable answer came: it may have run. */
  | { readonly kind: 'lost'; readonly reason: string; readonly isSilence?: boolean }
  /** The endpoint answered with a failure of its own. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The answer began and broke off. `isSilence`: it was given up because nothing came. */
  | { readonly kind: 'brokeOff'; readonly reason: string; readonly isSilence?: boolean };

/** What to do next. */
export type PlanStep =
  | { readonly action: 'send'; readonly resumeAfterEventId: string | undefined }
  /** Refuse: the request has not run and never will. */
  | { readonly action: 'refuse'; readonly retryAfterMs: number }
  /** Fail: the request may have run. `timeout` where its time is up. */
  | { readonly action: 'fail'; readonly isTimeout: boolean }
  /** Pass on the endpoint's own failure. */
  | { readonly action: 'passOn' }
  /** Break the answer off: its beginning is with the caller already. */
  | { readonly action: 'cut' };

/** Options of {@link RequestPlan}. */
export interface RequestPlanOptions {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  /** End of the time that the request has, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  /** Event after which the caller itself wants the stream to go on. */
  readonly resumeAfterEventId?: string;
}

/** The way of one request over its endpoints. */
export class RequestPlan {
  private readonly options: RequestPlanOptions;
  private runCount = 0;
  private fruitlessCount = 0;
  private lastEventId: string | undefined;
  private hasBegun = false;
  private mayHaveRun = false;

  constructor(options: RequestPlanOptions) {
    this.options = options;
    this.lastEventId = options.resumeAfterEventId;
  }

  /** Sends so far that may have run. */
  get runs(): number {
    return this.runCount;
  }

  /** Whether some endpoint may have run the request. */
  get isInDoubt(): boolean {
    return this.mayHaveRun;
  }

  /** Whether the request may be sent again if the next send is lost. */
  get mayBeRepeated(): boolean {
    const { kind, isResumable, maxAttempts } = this.options;
    const isRepeatable = kind === 'idempotent' || (kind === 'stream' && isResumable);
    return isRepeatable && this.runCount + 1 < maxAttempts;
  }

  /** Whether, once sent, the request may still go on at another endpoint after this one. */
  get mayGoOnElsewhere(): boolean {
    return this.options.kind === 'stream' && this.mayBeRepeated;
  }

  /** Time left, in whole milliseconds. */
  timeLeftMs(nowMs: number): number {
    return Math.max(0, Math.floor(this.options.deadlineMs - nowMs));
  }

  /** The first step. */
  first(): PlanStep {
    return { action: 'send', resumeAfterEventId: this.lastEventId };
  }

  /** Notes that part of an answer went to the caller; `eventId` is that of a whole event. */
  passedOn(eventId: string | undefined): void {
    this.hasBegun = true;
    if (eventId !== undefined) this.lastEventId = eventId;
  }

  /** The step after a send that ended without a whole answer. */
  after(outcome: SendOutcome, nowMs: number): PlanStep {
    const ran = match(outcome)
      .with({ kind: 'notSent' }, { kind: 'refused' }, () => false)
      .otherwise(() => true);
    if (ran) {
      this.runCount += 1;
      this.mayHaveRun = true;
    } else {
      this.fruitlessCount += 1;
    }
    if (this.maySendAgain(ran, nowMs)) {
      return { action: 'send', resumeAfterEventId: this.lastEventId };
    }
    if (outcome.kind === 'failed' && !this.hasBegun) return { action: 'passOn' };
    return this.giveUp(nowMs);
  }

  /** The step where no endpoint can or may take the request, or its time is up. */
  giveUp(nowMs: number, retryAfterMs = RETRY_AFTER_MS): PlanStep {
    if (this.hasBegun) return { action: 'cut' };
    if (!this.mayHaveRun) return { action: 'refuse', retryAfterMs };
    return { action: 'fail', isTimeout: this.timeLeftMs(nowMs) === 0 };
  }

  /** The step where time ran out while an endpoint was at work. */
  timeUp(): PlanStep {
    this.mayHaveRun = true;
    return this.hasBegun ? { action: 'cut' } : { action: 'fail', isTimeout: true };
  }

  private maySendAgain(ran: boolean, nowMs: number): boolean {
    if (this.timeLeftMs(nowMs) < MIN_SEND_MS) return false;
    if (!ran) return this.fruitlessCount < MAX_FRUITLESS_SENDS;
    if (this.runCount >= this.options.maxAttempts) return false;
    const { kind, isResumable } = this.options;
    if (kind === 'idempotent') return !this.hasBegun;
    return kind === 'stream' && isResumable;
  }
}
