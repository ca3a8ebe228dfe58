/**
 * Decides how many endpoint crashes quarantine a feature of requests, and which of them other
 * features explain. A crash ends all requests that the endpoint runs, so a frequent feature may be
 * there when another one crashes endpoints, even twice. A run whose response had begun is weaker
 * evidence: most contents that crash endpoints do so before the first event of the response.
 */

/** Consecutive crashes, each of a run that was started when the earlier ones were known. */
export interface CrashCount {
  readonly crashes: number;
  /** Crashes before the response had begun; earlier versions omit it, which means all of them. */
  readonly crashesBeforeAnswer?: number;
  /**
   * Latest incarnations of endpoints that crashed, simultaneous ones included; earlier versions omit
   * it.
   */
  readonly crashedEndpoints?: readonly string[];
  /** Whether it ran to the end not long before the crashes; earlier versions omit it. */
  readonly wasSound?: boolean;
}

/** A crash of an endpoint, as evidence against one feature of a request that was running there. */
export interface CountedCrash {
  /** Crashes that the sender knew of when it sent the request. */
  readonly knownCrashes: number;
  /** Whether the response had begun; earlier versions omit it, which means false. */
  readonly hasBegun?: boolean;
  /** Incarnation of the endpoint; earlier versions omit it. */
  readonly endpointId?: string;
  /** Whether the sender knows of a run to the end not long before; omitted if not. */
  readonly wasSound?: boolean;
}

/**
 * Number of crashes before the response at which a feature is quarantined. Each further crash costs
 * all requests of its endpoint, up to 8, and 2 to 3 s of its capacity; a harmless content that is
 * quarantined has already lost two runs.
 */
const QUARANTINE_CRASHES_BEFORE_RESPONSE = 2;
/**
 * Number of crashes, before or during the response, at which a feature is quarantined; some
 * contents crash endpoints only during the response.
 */
const QUARANTINE_CRASHES = 3;
/**
 * Number of crashes that confirm a feature which ran to the end not long before: several others that
 * are new may have crashed the endpoints.
 */
const CONFIRMING_CRASHES_IF_SOUND = 5;
/** Number of crashes that one feature has to explain if another crash counts as chance. */
const MIN_EXPLAINED_CRASHES = 2;
/** Maximum number of crashed endpoints that are remembered of a feature. */
const MAX_CRASHED_ENDPOINTS = 16;

/** Whether a feature with this count is quarantined. */
export function isQuarantined(count: CrashCount): boolean {
  return (
    count.crashes >= QUARANTINE_CRASHES ||
    crashesBeforeResponseOf(count) >= QUARANTINE_CRASHES_BEFORE_RESPONSE
  );
}

/** Whether the evidence suffices without further trials. */
export function isConfirmed(count: CrashCount): boolean {
  return count.crashes >= confirmingCrashes(count);
}

/** Number of crashes that confirm a feature. */
export function confirmingCrashes({ wasSound = false }: CrashCount): number {
  return wasSound ? CONFIRMING_CRASHES_IF_SOUND : QUARANTINE_CRASHES;
}

/**
 * Whether other features, each given by the endpoints that crashed with it, explain the crashes of a
 * feature: one of them explains all. For a feature that was sound, several may do so together, or
 * after a trial one all but one, as the endpoint of the trial may have crashed by chance. Otherwise
 * the features that the requests have by turns would explain the one that they share.
 */
export function isExplained(
  { crashes, crashedEndpoints = [], wasSound = false }: CrashCount,
  otherFeatures: readonly (readonly string[])[],
  trials: number,
): boolean {
  if (crashedEndpoints.length < crashes) return false;
  const unexplainedBy = (endpointIds: readonly string[]): number => {
    const explained = new Set(endpointIds);
    return crashedEndpoints.filter((endpointId) => !explained.has(endpointId)).length;
  };
  const fewest = Math.min(...otherFeatures.map(unexplainedBy));
  if (fewest === 0) return true;
  if (!wasSound) return false;
  if (unexplainedBy(otherFeatures.flat()) === 0) return true;
  return trials > 0 && fewest === 1 && crashedEndpoints.length > MIN_EXPLAINED_CRASHES;
}

/** Returns the count with one more crash; undefined if the crash is already counted. */
export function countCrash(
  count: CrashCount,
  { knownCrashes, hasBegun = false, endpointId, wasSound = false }: CountedCrash,
): Required<CrashCount> | undefined {
  const { crashes, crashedEndpoints = [] } = count;
  const crashesBeforeAnswer = crashesBeforeResponseOf(count);
  const isSound = wasSound || count.wasSound === true;
  if (endpointId !== undefined && crashedEndpoints.includes(endpointId)) {
    if (isSound === (count.wasSound === true)) return undefined;
    return { crashes, crashesBeforeAnswer, crashedEndpoints, wasSound: isSound };
  }
  // Simultaneous crashes, of runs that began before any of them was known, count as one: an outage
  // of several endpoints that run the same frequent content is no evidence against that content.
  const isSimultaneous = knownCrashes < crashes;
  if (isSimultaneous && endpointId === undefined) return undefined;
  const added = isSimultaneous ? 0 : addedCrashes(count, { knownCrashes, endpointId });
  return {
    crashes: crashes + added,
    crashesBeforeAnswer: crashesBeforeAnswer + (hasBegun ? 0 : added),
    crashedEndpoints: [
      ...crashedEndpoints,
      ...(endpointId === undefined ? [] : [endpointId]),
    ].slice(-MAX_CRASHED_ENDPOINTS),
    wasSound: isSound,
  };
}

/**
 * Number of crashes that a report adds. A named endpoint counts once, since what its sender knew may
 * be older than a run that cleared the feature; earlier versions rely on what the sender knew.
 */
function addedCrashes(
  { crashes }: CrashCount,
  { knownCrashes, endpointId }: Pick<CountedCrash, 'knownCrashes' | 'endpointId'>,
): number {
  return endpointId === undefined ? knownCrashes + 1 - crashes : 1;
}

function crashesBeforeResponseOf({ crashes, crashesBeforeAnswer = crashes }: CrashCount): number {
  return crashesBeforeAnswer;
}
