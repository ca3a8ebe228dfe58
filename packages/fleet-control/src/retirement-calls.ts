/**
 * Operators' calls about the retirement of a store, at any control process. A process that has just
 * started, or that follows the leader with a delay, may not know a store or a retirement yet, so only
 * the leader's answer shows that there is none.
 */
import type { RetireOutcome, RetireProgress, StoreLifecycle } from './store-lifecycle.js';

/** Options of {@link RetirementCalls}. */
export interface RetirementCallsOptions {
  /** Undefined at a control process without a disk, which does not hold the state of the fleet. */
  readonly lifecycle: Pick<StoreLifecycle, 'retire' | 'retirement'> | undefined;
  /** Calls the leader; rejects if it does not respond. */
  readonly callLeader: (method: 'retire' | 'retirement', instance: string) => Promise<unknown>;
}

/** Answers the calls of operators about retirements. */
export class RetirementCalls {
  private readonly options: RetirementCallsOptions;

  constructor(options: RetirementCallsOptions) {
    this.options = options;
  }

  /** Starts the retirement of the store of an instance; see {@link StoreLifecycle.retire}. */
  async retire(instance: string): Promise<RetireOutcome> {
    const { lifecycle, callLeader } = this.options;
    const outcome = (await lifecycle?.retire(instance)) ?? 'unknown';
    if (outcome !== 'unknown') return outcome;
    return (await callLeader('retire', instance)) as RetireOutcome;
  }

  /** Returns the progress of the retirement of a store; undefined if none was requested. */
  async retirement(instance: string): Promise<RetireProgress | undefined> {
    const { lifecycle, callLeader } = this.options;
    const progress = await lifecycle?.retirement(instance);
    if (progress !== undefined) return progress;
    return ((await callLeader('retirement', instance)) as RetireProgress | null) ?? undefined;
  }
}
