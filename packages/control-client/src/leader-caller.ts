/**
 * Finds the leader of a group and retries calls that may be retried. Every command has a unique id,
 * so a retried command takes effect only once.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { ShedlineError, toShedlineError } from '@shedline/errors';

const DEFAULT_MAX_ATTEMPT_MS = 3000;
const FIRST_PAUSE_MS = 20;
/** Minimum time left for an attempt; the last pause ends this long before the timeout. */
const MIN_ATTEMPT_MS = 50;
const DEFAULT_MAX_PAUSE_MS = 500;
/** Maximum number of attempts that are reported of a call that fails: its last ones. */
const MAX_REPORTED_ATTEMPTS = 8;

/** A process that may lead groups. */
export interface CallPort {
  readonly name: string;
  /** Whether a call would be sent immediately. */
  readonly isReady: boolean;
  call(method: string, payload: unknown, timeoutMs: number): Promise<unknown>;
}

/** Calls the process that leads a group. */
export interface GroupCaller {
  call(method: string, group: number, payload: unknown, timeoutMs: number): Promise<unknown>;
}

/** A call that failed after all its attempts. */
export interface FailedCall {
  readonly method: string;
  readonly group: number;
  /** The last attempts in order, each as `process: reason of its failure`. */
  readonly attempts: readonly string[];
}

/** Options of {@link LeaderCaller}. */
export interface LeaderCallerOptions {
  /** Returns the processes to try for a group, the most likely leader first; called per attempt. */
  readonly ports: (group: number) => readonly CallPort[];
  /** Maximum wait for one process before another is tried. */
  readonly maxAttemptMs?: number;
  /** Maximum pause between two attempts. */
  readonly maxPauseMs?: number;
  /** Called when a call fails: the error of its last attempt alone may hide the cause. */
  readonly onFailure?: (call: FailedCall) => void;
}

/** {@link GroupCaller} that tracks the leaders of groups. */
export class LeaderCaller implements GroupCaller {
  private readonly ports: (group: number) => readonly CallPort[];
  private readonly maxAttemptMs: number;
  private readonly maxPauseMs: number;
  private readonly onFailure: ((call: FailedCall) => void) | undefined;
  private readonly leaders = new Map<number, string>();
  /** Failed attempts since the leader of a group was last known; selects the next port to try. */
  private readonly failedAttempts = new Map<number, number>();

  constructor(options: LeaderCallerOptions) {
    this.ports = options.ports;
    this.maxAttemptMs = options.maxAttemptMs ?? DEFAULT_MAX_ATTEMPT_MS;
    this.maxPauseMs = options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS;
    this.onFailure = options.onFailure;
  }

  /** Retries until the leader replies, a failure is final, or the timeout expires. */
  async call(method: string, group: number, payload: unknown, timeoutMs: number): Promise<unknown> {
    const deadlineMs = performance.now() + timeoutMs;
    let pauseMs = FIRST_PAUSE_MS;
    let ran: 'no' | 'unknown' = 'no';
    const attempts: string[] = [];
    for (;;) {
      const port = this.choosePort(group);
      const leftMs = deadlineMs - performance.now();
      try {
        const attemptMs = Math.max(1, Math.min(this.maxAttemptMs, leftMs));
        const answer = await port.call(method, payload, attemptMs);
        this.leaders.set(group, port.name);
        this.failedAttempts.delete(group);
        return answer;
      } catch (error) {
        const failure = toShedlineError(error, { step: method, peer: port.name, ran: 'unknown' });
        if (failure.ran !== 'no') ran = 'unknown';
        attempts.push(`${port.name}: ${failure.message}`);
        const remainingMs = deadlineMs - performance.now();
        if (failure.type !== 'unavailable' || remainingMs < MIN_ATTEMPT_MS) {
          this.onFailure?.({ method, group, attempts: attempts.slice(-MAX_REPORTED_ATTEMPTS) });
          throw withRan(failure, ran);
        }
        if (!this.followRedirect(group, failure) && this.hasTriedAll(group)) {
          await pause(Math.min(pauseMs, remainingMs - MIN_ATTEMPT_MS));
          pauseMs = Math.min(pauseMs * 2, this.maxPauseMs);
        }
      }
    }
  }

  private choosePort(group: number): CallPort {
    const leader = this.leaders.get(group);
    const usable = this.usablePorts(group);
    const known = usable.find((port) => port.name === leader);
    const port = known ?? usable[(this.failedAttempts.get(group) ?? 0) % usable.length];
    if (port === undefined) {
      const message = 'no process that may lead the group is known yet';
      throw new ShedlineError({ type: 'unavailable', message, step: 'call leader' });
    }
    return port;
  }

  /** Skips processes that are down, for which a call would wait; the others know the leader. */
  private usablePorts(group: number): readonly CallPort[] {
    const ports = this.ports(group);
    const ready = ports.filter((port) => port.isReady);
    return ready.length > 0 ? ready : ports;
  }

  /**
   * Whether all processes were tried without success; only then does the caller pause. With a pause
   * after each attempt, callers in a fleet of 30 stores of which 5 held a group reached none of the 5
   * for 3 s.
   */
  private hasTriedAll(group: number): boolean {
    const count = this.usablePorts(group).length;
    return count === 0 || (this.failedAttempts.get(group) ?? 0) % count === 0;
  }

  /**
   * Follows the leader that a failure names. Returns false if it names no other leader, so that the next
   * process is tried.
   */
  private followRedirect(group: number, failure: ShedlineError): boolean {
    const previous = this.leaders.get(group);
    const leader = failure.details?.leader;
    const isReachable = this.ports(group).some((port) => port.name === leader && port.isReady);
    if (typeof leader === 'string' && isReachable && leader !== previous) {
      this.leaders.set(group, leader);
      return true;
    }
    this.leaders.delete(group);
    this.failedAttempts.set(group, (this.failedAttempts.get(group) ?? 0) + 1);
    return false;
  }
}

function withRan(failure: ShedlineError, ran: 'no' | 'unknown'): ShedlineError {
  if (failure.ran === ran) return failure;
  return new ShedlineError({ ...failure.toBody(), ran });
}
