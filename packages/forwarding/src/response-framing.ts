/**
 * Whether endpoints may send responses without a length. Such a response ends with its connection, so
 * a companion connection has to be open before it ends, and a short one ends as soon as it begins.
 */

/**
 * Time after a response without a length for which further ones are expected, from any endpoint: all
 * endpoints of a service run the same software.
 */
const UNFRAMED_MEMORY_MS = 10_000;

/** How endpoints mark the end of their responses. */
export class ResponseFraming {
  /** Whether the latest response from an address had no length. */
  private readonly isLatestUnframed = new Map<string, boolean>();
  private unframedAtMs = -Infinity;

  /** Whether the next response from an address may have no length. */
  mayBeUnframed(address: string, nowMs: number): boolean {
    const isLatestUnframed = this.isLatestUnframed.get(address) ?? true;
    return isLatestUnframed || nowMs - this.unframedAtMs < UNFRAMED_MEMORY_MS;
  }

  /** Notes a response that has a body. */
  note(address: string, isUnframed: boolean, nowMs: number): void {
    this.isLatestUnframed.set(address, isUnframed);
    if (isUnframed) this.unframedAtMs = nowMs;
  }

  /** Forgets an address that no endpoint uses. */
  forget(address: string): void {
    this.isLatestUnframed.delete(address);
  }
}
