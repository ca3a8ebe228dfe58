/**
 * Number of batch requests that fit beside the online requests of an endpoint that runs a fixed
 * number of requests at once, in order of arrival.
 */

/** Options of {@link spareSlots}. */
export interface SpareSlotsOptions {
  /** Number of requests that the endpoint runs at once. */
  readonly slots: number;
  /** Online requests in progress there, of all entries. */
  readonly online: number;
  /** Slots kept free for online requests that arrive next. */
  readonly reserve: number;
}

/** Returns the number of batch requests that may run now. */
export function spareSlots({ slots, online, reserve }: SpareSlotsOptions): number {
  return Math.max(0, slots - online - reserve);
}
