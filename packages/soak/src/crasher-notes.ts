/**
 * What was seen of contents that end each endpoint that runs them: after the third end they are to be held
 * back within a time, but for a few runs.
 */

/** Ends of endpoints after which a content is to be held back. */
const ENDS_TO_HOLD = 3;
/** Time after the last of these within which every process must know. */
const HOLD_WITHIN_MS = 3000;
/** Runs begun later that are allowed: trials whether it still ends its endpoint. */
const MOST_LATE_RUNS = 3;

interface CrasherNote {
  readonly endsAtMs: number[];
  lateRuns: number;
}

/** Contents that end their endpoints, by content. */
export class CrasherNotes {
  private readonly notes = new Map<string, CrasherNote>();

  /** An endpoint ended under a content. */
  ended(crasher: string, atMs: number): void {
    const note = this.notes.get(crasher) ?? { endsAtMs: [], lateRuns: 0 };
    note.endsAtMs.push(atMs);
    this.notes.set(crasher, note);
  }

  /** Whether an endpoint ended under any of them in a span of time. */
  hasEnded(fromMs: number, untilMs: number): boolean {
    const ends = [...this.notes.values()].flatMap(({ endsAtMs }) => endsAtMs);
    return ends.some((endMs) => endMs >= fromMs && endMs <= untilMs);
  }

  /**
   * An endpoint begins to run a content; true where that is once too often. `isCalm` tells whether nothing
   * kept processes from knowing since a moment.
   */
  ran(crasher: string, atMs: number, isCalm: (fromMs: number) => boolean): boolean {
    const note = this.notes.get(crasher);
    const lastEndMs = note?.endsAtMs[ENDS_TO_HOLD - 1] ?? Infinity;
    const isLate = atMs > lastEndMs + HOLD_WITHIN_MS;
    if (note === undefined || !isLate || !isCalm(atMs - HOLD_WITHIN_MS)) return false;
    note.lateRuns += 1;
    return note.lateRuns === MOST_LATE_RUNS + 1;
  }
}
