/**
 * Rate at which requests and items start, as a moving average with exponentially decaying weights.
 */

/**
 * Time constant of the average. With two starts per second, a five-fold peak has tripled the
 * average after its first two or three requests.
 */
const TIME_CONSTANT_MS = 500;

/** Moving average of a rate of starts. */
export class StartRate {
  private weight = 0;
  private updatedAtMs = -Infinity;

  /** Records one start. */
  record(nowMs: number): void {
    this.weight = this.weightAt(nowMs) + 1;
    this.updatedAtMs = nowMs;
  }

  /** Returns the average number of starts per second. */
  perS(nowMs: number): number {
    return (this.weightAt(nowMs) * 1000) / TIME_CONSTANT_MS;
  }

  private weightAt(nowMs: number): number {
    return this.weight * Math.exp((this.updatedAtMs - nowMs) / TIME_CONSTANT_MS);
  }
}
