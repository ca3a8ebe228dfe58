/**
 * How long calls last, observed per kind of call. A stopping process begins only calls that are
 * expected to end in time.
 */

/** Number of finished calls of a kind that are remembered. */
const SAMPLE_COUNT = 64;
/** Maximum number of kinds that are remembered. */
const MAX_KINDS = 1000;
/**
 * Margin over the longest call observed, as a share of it, and its addition while few calls are known:
 * with one call it is 225 percent, with {@link SAMPLE_COUNT} calls 28 percent. Calls
 * become slower where others stop and leave their load to the rest.
 */
const MARGIN_SHARE = 0.25;
const FEW_SAMPLES_SHARE = 2;
/** Constant part of the margin: delays of this process's own timers and events. */
const MARGIN_MS = 50;

/** Phases of a call: until the first part of its response, and from there to its end. */
interface Phases {
  readonly untilFirstPartMs: number;
  readonly afterFirstPartMs: number;
  /** Maximum size of the response as stated by the caller, in any unit; undefined if not stated. */
  readonly maxOutput: number | undefined;
}

/** What is known of the duration of a call before it begins. */
export interface CallLimits {
  /** Time after which the call ends in any case. */
  readonly limitMs: number;
  /** Maximum size of its response as stated by its caller; undefined if not stated. */
  readonly maxOutput: number | undefined;
}

/** A call in progress whose duration is observed. */
export interface ObservedCall {
  /** Notes the first part of the response. */
  firstPart(): void;
  /** Notes the end; `hasRun` is false for a call that was refused, which shows no duration. */
  end(hasRun: boolean): void;
}

/** Calls of one kind. */
class Observations {
  readonly running = new Set<RunningCall>();
  readonly finished: Phases[] = [];
  private next = 0;

  add(phases: Phases): void {
    this.finished[this.next] = phases;
    this.next = (this.next + 1) % SAMPLE_COUNT;
  }
}

class RunningCall {
  private readonly beganAtMs: number;
  private readonly maxOutput: number | undefined;
  private firstPartAtMs: number | undefined;

  constructor(beganAtMs: number, maxOutput: number | undefined) {
    this.beganAtMs = beganAtMs;
    this.maxOutput = maxOutput;
  }

  noteFirstPart(nowMs: number): void {
    this.firstPartAtMs ??= nowMs;
  }

  phasesAt(nowMs: number): Phases {
    const { beganAtMs, maxOutput, firstPartAtMs = nowMs } = this;
    return {
      untilFirstPartMs: firstPartAtMs - beganAtMs,
      afterFirstPartMs: nowMs - firstPartAtMs,
      maxOutput,
    };
  }
}

/** Observes the durations of calls by kind. */
export class CallDurations {
  private readonly nowMs: () => number;
  private readonly kinds = new Map<string, Observations>();

  constructor({ nowMs }: { readonly nowMs: () => number }) {
    this.nowMs = nowMs;
  }

  /** Notes that a call has begun. */
  begin(kind: string, maxOutput?: number): ObservedCall {
    const observations = this.observationsOf(kind);
    const call = new RunningCall(this.nowMs(), maxOutput);
    observations.running.add(call);
    return {
      firstPart: () => {
        call.noteFirstPart(this.nowMs());
      },
      end: (hasRun) => {
        observations.running.delete(call);
        if (hasRun) observations.add(call.phasesAt(this.nowMs()));
      },
    };
  }

  /**
   * Returns how long a call is expected to last at most: its own limit, or less if the calls
   * observed were shorter. What follows the first part is scaled by the stated maximum output.
   */
  longestMs(kind: string, { limitMs, maxOutput }: CallLimits): number {
    const observations = this.kinds.get(kind);
    const finishedCount = observations?.finished.length ?? 0;
    if (observations === undefined || finishedCount === 0) return limitMs;
    const nowMs = this.nowMs();
    const running = [...observations.running].map((call) => call.phasesAt(nowMs));
    let untilFirstPartMs = 0;
    let afterFirstPartMs = 0;
    for (const phases of [...observations.finished, ...running]) {
      const scale = scaleOf(maxOutput, phases.maxOutput);
      untilFirstPartMs = Math.max(untilFirstPartMs, phases.untilFirstPartMs);
      afterFirstPartMs = Math.max(afterFirstPartMs, phases.afterFirstPartMs * scale);
    }
    const margin = 1 + MARGIN_SHARE + FEW_SAMPLES_SHARE / finishedCount;
    return Math.min(limitMs, (untilFirstPartMs + afterFirstPartMs) * margin + MARGIN_MS);
  }

  private observationsOf(kind: string): Observations {
    const observations = this.kinds.get(kind) ?? new Observations();
    // Moves the kind to the end of the order in which kinds are forgotten.
    this.kinds.delete(kind);
    this.kinds.set(kind, observations);
    const [oldest] = this.kinds.keys();
    if (this.kinds.size > MAX_KINDS && oldest !== undefined) this.kinds.delete(oldest);
    return observations;
  }
}

function scaleOf(maxOutput: number | undefined, observedMaxOutput: number | undefined): number {
  const areStated = maxOutput !== undefined && observedMaxOutput !== undefined;
  return areStated && observedMaxOutput > 0 ? maxOutput / observedMaxOutput : 1;
}
