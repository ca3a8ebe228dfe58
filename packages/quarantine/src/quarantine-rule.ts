/**
 * Decides how many endpoint crashes quarantine a request content. A crash ends all requests that
 * the endpoint runs, so a frequent content may run beside a content that crashes endpoints, even
 * twice. A run whose response had begun is weaker evidence: most contents that crash endpoints do
 * so before the first event of the response.
 */

/** Consecutive crashes, each of a run that was started when the earlier ones were known. */
export interface CrashCount {
  readonly crashes: number;
  /** Crashes before the response had begun; earlier versions omit it, which means all of them. */
  readonly crashesBeforeAnswer?: number;
}

/** A crash of an endpoint, as evidence against one content that was running there. */
export interface CountedCrash {
  /** Crashes that the sender knew of when it sent the content. */
  readonly knownCrashes: number;
  /** Whether the response had begun; earlier versions omit it, which means false. */
  readonly hasBegun?: boolean;
}

/**
 * Number of crashes before the response at which a content is quarantined. Each further crash costs
 * all requests of its endpoint, up to 8, and 2 to 3 s of its capacity; a harmless content that is
 * quarantined has already lost two runs.
 */
const QUARANTINE_CRASHES_BEFORE_RESPONSE = 2;
/**
 * Number of crashes, before or during the response, at which a content is quarantined; some
 * contents crash endpoints only during the response.
 */
const QUARANTINE_CRASHES = 3;

/** Whether a content with this count is quarantined. */
export function isQuarantined(count: CrashCount): boolean {
  return (
    count.crashes >= QUARANTINE_CRASHES ||
    crashesBeforeResponseOf(count) >= QUARANTINE_CRASHES_BEFORE_RESPONSE
  );
}

/** Returns the count with one more crash; undefined if the crash is already counted. */
export function countCrash(
  count: CrashCount,
  { knownCrashes, hasBegun = false }: CountedCrash,
): Required<CrashCount> | undefined {
  const crashes = knownCrashes + 1;
  const added = crashes - count.crashes;
  // Simultaneous crashes, of runs that began before any of them was known, count as one: an outage
  // of several endpoints that run the same frequent content is no evidence against that content.
  if (added <= 0) return undefined;
  return {
    crashes,
    crashesBeforeAnswer: crashesBeforeResponseOf(count) + (hasBegun ? 0 : added),
  };
}

function crashesBeforeResponseOf({ crashes, crashesBeforeAnswer = crashes }: CrashCount): number {
  return crashesBeforeAnswer;
}
