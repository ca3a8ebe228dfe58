/**
 * How many batch requests fit beside online ones at an endpoint that runs a fixed number at once
 * and admits them in order of arrival.
 */

/** Options of {@link spareSlots}. */
export interface SpareSlotsOptions {
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** Online requests under way there, over all entries. */
  readonly online: number;
  /** Slots kept free for online requests that are about to come. */
  readonly reserve: number;
}

/** Batch requests that may run now. */
export function spareSlots({ slots, online, reserve }: SpareSlotsOptions): number {
  return Math.max(0, slots - online - reserve);
}
