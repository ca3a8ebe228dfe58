/**
 * Checks the quarantine of request contents and prompt parts that crash endpoints: after some crashes
 * they must be quarantined within a time limit, except for a few trial requests.
 */
import { CRASHING_PART_PREFIX } from './expected-response.js';

/** Endpoint crashes after which a content must be quarantined. */
const CRASHES_UNTIL_QUARANTINE = 3;
/** The same for a part, whose requests differ. */
const CRASHES_UNTIL_PART_QUARANTINE = 5;
/** Time after the last of these crashes within which every process must know of the quarantine. */
const QUARANTINE_WITHIN_MS = 3000;
/** Allowed number of later runs: trial requests that check whether the content still crashes. */
const MAX_LATE_RUNS = 3;

interface ContentRecord {
  readonly crashedAtMs: number[];
  lateRuns: number;
}

/** Contents that crash endpoints, with their crashes and late runs. */
export class CrashingContents {
  private readonly contents = new Map<string, ContentRecord>();

  /** Records that an endpoint crashed while it ran a content. */
  recordCrash(crashingContent: string, atMs: number): void {
    const record = this.contents.get(crashingContent) ?? { crashedAtMs: [], lateRuns: 0 };
    record.crashedAtMs.push(atMs);
    this.contents.set(crashingContent, record);
  }

  /** Whether any of the contents crashed an endpoint in a span of time. */
  hasCrashBetween(fromMs: number, untilMs: number): boolean {
    const crashTimesMs = [...this.contents.values()].flatMap(({ crashedAtMs }) => crashedAtMs);
    return crashTimesMs.some((crashMs) => crashMs >= fromMs && crashMs <= untilMs);
  }

  /**
   * Records that an endpoint starts to run a content; returns true for the first run beyond the
   * limit. `isUndisturbed` returns whether no fault has kept processes from learning of crashes
   * since a time.
   */
  recordRun(
    crashingContent: string,
    atMs: number,
    isUndisturbed: (fromMs: number) => boolean,
  ): boolean {
    const record = this.contents.get(crashingContent);
    const isPart = crashingContent.startsWith(CRASHING_PART_PREFIX);
    const crashes = isPart ? CRASHES_UNTIL_PART_QUARANTINE : CRASHES_UNTIL_QUARANTINE;
    const lastCrashMs = record?.crashedAtMs[crashes - 1] ?? Infinity;
    const isLate = atMs > lastCrashMs + QUARANTINE_WITHIN_MS;
    if (record === undefined || !isLate || !isUndisturbed(atMs - QUARANTINE_WITHIN_MS))
      return false;
    record.lateRuns += 1;
    return record.lateRuns === MAX_LATE_RUNS + 1;
  }
}
