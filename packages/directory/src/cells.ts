/**
 * Which entries learn the full load of which endpoints. Entries form cells; an endpoint
 * belongs to one cell, so that an entry knows a bounded part of the fleet in full and shares
 * its counts with the few entries of its own cell alone.
 */
import { rendezvousOrder } from '@shedline/types';

/** An entry and where it stands. */
export interface ZonedEntry {
  readonly name: string;
  readonly availabilityZone: string;
}

/** Cells of entries, each a sorted list of names. */
export type Cells = ReadonlyMap<string, readonly string[]>;

/**
 * Splits the configured entries into cells of about `cellSize`. A fleet that fits into one
 * cell is one cell; otherwise cells do not cross availability zones.
 */
export function planCells(entries: readonly ZonedEntry[], cellSize: number): Cells {
  const names = entries.map((entry) => entry.name).sort();
  if (names.length <= cellSize) return new Map([['all', names]]);
  const zones = [...new Set(entries.map((entry) => entry.availabilityZone))].sort();
  const cells = new Map<string, readonly string[]>();
  for (const zone of zones) {
    const inZone = entries.filter((entry) => entry.availabilityZone === zone);
    const sorted = inZone.map((entry) => entry.name).sort();
    const count = Math.ceil(sorted.length / cellSize);
    for (let cell = 0; cell < count; cell += 1) {
      const members = sorted.filter((_, index) => index % count === cell);
      cells.set(`${zone}/${cell}`, members);
    }
  }
  return cells;
}

/** The cell of an entry. */
export function cellOf(cells: Cells, entry: string): string {
  for (const [cell, members] of cells) {
    if (members.includes(entry)) return cell;
  }
  return '';
}

/** The cell that observes an endpoint: one of its own availability zone if there is any. */
export function cellOfEndpoint(cells: Cells, endpointId: string, availabilityZone: string): string {
  const all = [...cells.keys()];
  const near = all.filter((cell) => cell.startsWith(`${availabilityZone}/`));
  const candidates = near.length > 0 ? near : all;
  return rendezvousOrder(`cell|${endpointId}`, candidates, 1)[0] ?? '';
}
