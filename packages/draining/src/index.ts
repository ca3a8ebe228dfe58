/**
 * What a process owes from its stop request to its exit.
 */
/** Time after which callers retry at another process what a stopping one did not begin. */
export const STOPPING_RETRY_MS = 100;

export { CallDurations } from './call-durations.js';
export type { CallLimits, ObservedCall } from './call-durations.js';
export { OpenCalls, trackCalls } from './open-calls.js';
export type { OpenCall } from './open-calls.js';
