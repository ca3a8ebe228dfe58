/**
 * Runs a non-idempotent call at most once: its idempotency key is claimed durably before the only
 * attempt, and the response is recorded before it is returned to the caller.
 */
import { randomUUID } from 'node:crypto';
import type { ControlClient } from '@shedline/control-client';
import { ShedlineError, toShedlineError } from '@shedline/errors';
import type { ClaimAnswer } from '@shedline/jobs';

/** A recorded response. */
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
  /** Distinguishes a retry from a different request with the same key. */
  readonly requestHash: string;
  readonly deadlineMs: number;
  /** Runs the call; an error with `ran: no` releases the key. */
  readonly run: () => Promise<RecordedAnswer>;
}

const IN_PROGRESS_RETRY_MS = 500;
/** Maximum size of a response that is recorded for retries. */
const MAX_RECORDED_BYTES = 1024 * 1024;

/** Claims idempotency keys in the durable state. */
export class CallClaimer {
  private readonly control: ControlClient;

  constructor(control: ControlClient) {
    this.control = control;
  }

  /** Runs the call, or returns the response recorded for its key. */
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
    return this.runClaimed(call, group, key, claimId);
  }

  private async runClaimed(
    call: ClaimedCall,
    group: number,
    key: string,
    claimId: string,
  ): Promise<RecordedAnswer> {
    const finish = { type: 'finishCall', key, claimId } as const;
    const noResponse = { status: 0, contentType: '', body: new Uint8Array(0) };
    try {
      const response = await call.run();
      // A response that is too large to record is returned, but a retry gets `in_doubt`.
      const isRecordable = response.body.length <= MAX_RECORDED_BYTES;
      const end = isRecordable
        ? ({ outcome: 'recorded', ...response } as const)
        : ({ outcome: 'inDoubt', ...noResponse } as const);
      await this.control.proposeJob(group, { ...finish, ...end });
      return response;
    } catch (error) {
      const failure = toShedlineError(error, { step: 'call', peer: call.service, ran: 'unknown' });
      const outcome = failure.ran === 'no' ? 'notRun' : 'inDoubt';
      await this.control
        .proposeJob(group, { ...finish, outcome, ...noResponse })
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
    const message = `the call with Idempotency-Key ${key} is still in progress; retry later`;
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
    `it is unknown whether the call with Idempotency-Key ${key} ran; it will not be sent ` +
    'again. Check the state of the service, and use a new key to repeat the call';
  return new ShedlineError({ type: 'in_doubt', message, ran: 'unknown', ...common });
}
