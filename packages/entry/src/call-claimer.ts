/**
 * Runs a non-idempotent call at most once: its key is claimed in the durable state before the
 * one send, and its answer is recorded before the caller gets it.
 */
import { randomUUID } from 'node:crypto';
import type { ControlClient } from '@shedline/control-client';
import { ShedlineError, toShedlineError } from '@shedline/errors';
import type { ClaimAnswer } from '@shedline/jobs';

/** An answer as it is recorded. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** A call to run at most once. */
export interface ClaimedCall {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  /** Tells a resend from another call under the same key. */
  readonly requestHash: string;
  readonly deadlineMs: number;
  /** Runs the call; an error with `ran: no` gives the key free again. */
  readonly run: () => Promise<RecordedAnswer>;
}

const IN_PROGRESS_RETRY_MS = 500;
/** Largest answer that is kept for resends. */
const MAX_RECORDED_BYTES = 1024 * 1024;

/** Claims keys in the durable state. */
export class CallClaimer {
  private readonly control: ControlClient;

  constructor(control: ControlClient) {
    this.control = control;
  }

  /** Runs the call, or gives the answer recorded for its key. */
  async runOnce(call: ClaimedCall): Promise<RecordedAnswer> {
    const key = JSON.stringify([call.workspace, call.service, call.key]);
    const group = await this.control.groupOfKey(key);
    const claimId = randomUUID();
    const claim = (await this.control.proposeJob(group, {
      type: 'claimCall',
      key,
      claimId,
      requestHash: call.requestHash,
      deadlineMs: call.deadlineMs,
    })) as ClaimAnswer;
    if (claim.claim === 'recorded') {
      const { status, contentType, body } = claim;
      return { status, contentType, body: Buffer.from(body) };
    }
    if (claim.claim !== 'granted') throw claimRefused(claim.claim, call.key);
    return this.runGranted(call, group, key, claimId);
  }

  private async runGranted(
    call: ClaimedCall,
    group: number,
    key: string,
    claimId: string,
  ): Promise<RecordedAnswer> {
    const finish = { type: 'finishCall', key, claimId } as const;
    const nothing = { status: 0, contentType: '', body: new Uint8Array(0) };
    try {
      const answer = await call.run();
      // An answer too large to keep is the caller's, but a resend can only be told of doubt.
      const isKept = answer.body.length <= MAX_RECORDED_BYTES;
      const end = isKept
        ? ({ outcome: 'recorded', ...answer } as const)
        : ({ outcome: 'inDoubt', ...nothing } as const);
      await this.control.proposeJob(group, { ...finish, ...end });
      return answer;
    } catch (error) {
      const failure = toShedlineError(error, { step: 'call', peer: call.service, ran: 'unknown' });
      const outcome = failure.ran === 'no' ? 'notRun' : 'inDoubt';
      await this.control
        .proposeJob(group, { ...finish, outcome, ...nothing })
        .catch(() => undefined);
      throw failure;
    }
  }
}

function claimRefused(claim: 'inProgress' | 'inDoubt' | 'mismatch', key: string): ShedlineError {
  const common = { step: 'claim call', peer: 'control' } as const;
  if (claim === 'mismatch') {
    const message = `Idempotency-Key ${key} was used before for another request; use a new key`;
    return new ShedlineError({ type: 'conflict', message, ran: 'no', ...common });
  }
  if (claim === 'inProgress') {
    const message = `the call with Idempotency-Key ${key} is still in progress; ask again soon`;
    const retryAfterMs = IN_PROGRESS_RETRY_MS;
    return new ShedlineError({
      type: 'in_progress',
      message,
      ran: 'unknown',
      retryAfterMs,
      ...common,
    });
  }
  const message =
    `it is not known whether the call with Idempotency-Key ${key} ran; it will not be sent ` +
    'again. Check at the service, and use a new key to call again';
  return new ShedlineError({ type: 'in_doubt', message, ran: 'unknown', ...common });
}
