/**
 * A network partition that puts every second process on the other side.
 */
import type { ProcessSpec } from './process-set.js';

/** Two sets of processes between which no traffic passes. */
export class NetworkPartition {
  private readonly sides: readonly [ProcessSpec[], ProcessSpec[]] = [[], []];
  private readonly sideOf = new Map<string, number>();

  /** Splits the given processes; all others can reach both sides. */
  constructor(specs: readonly ProcessSpec[]) {
    for (const [index, spec] of specs.entries()) {
      const side = index % 2 === 0 ? 0 : 1;
      this.sides[side].push(spec);
      this.sideOf.set(spec.processHost, side);
    }
  }

  /** The side with more processes. */
  get largerSide(): readonly ProcessSpec[] {
    const [first, second] = this.sides;
    return first.length >= second.length ? first : second;
  }

  /** Whether two processes, given by their own IP addresses, are on different sides. */
  separates(from: string, to: string): boolean {
    const [first, second] = [this.sideOf.get(from), this.sideOf.get(to)];
    return first !== undefined && second !== undefined && first !== second;
  }
}
