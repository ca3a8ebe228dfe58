/**
 * Passes announcements on to the entries of the cell that observes the endpoint: whole ones
 * when something changed and now and then, short heartbeats otherwise.
 */
import { cellOf, cellOfEndpoint, planCells } from '@shedline/directory';
import type { Cells, Heartbeat, ZonedEntry } from '@shedline/directory';
import type { Announcement } from '@shedline/types';

/** Heartbeats of an endpoint between two whole announcements. */
const WHOLE_EVERY = 10;

/** What goes to the entries of one cell. Ages travel along: no wall clock is trusted. */
export interface SpreadMessage {
  readonly whole: readonly (readonly [Announcement, number])[];
  readonly short: readonly (readonly [string, number, number, number, number, number])[];
}

/** Options of {@link AnnouncementSpreader}. */
export interface AnnouncementSpreaderOptions {
  readonly self: string;
  readonly entries: readonly ZonedEntry[];
  readonly cellSize: number;
}

interface Held {
  readonly announcement: Announcement;
  readonly heardAtMs: number;
  readonly isWhole: boolean;
}

/** Gathers announcements by the cell that they go to. */
export class AnnouncementSpreader {
  private readonly self: string;
  private readonly cells: Cells;
  private readonly ownCell: string;
  private readonly held = new Map<string, Map<string, Held>>();
  private readonly sentForm = new Map<string, { form: string; shorts: number }>();

  constructor(options: AnnouncementSpreaderOptions) {
    this.self = options.self;
    this.cells = planCells(options.entries, options.cellSize);
    this.ownCell = cellOf(this.cells, options.self);
  }

  /** The entries that observe the same endpoints as this one, itself included. */
  get cellMembers(): readonly string[] {
    return this.cells.get(this.ownCell) ?? [this.self];
  }

  /** Whether this entry learns the full load of an endpoint. */
  observes(announcement: Announcement): boolean {
    return this.cellFor(announcement) === this.ownCell;
  }

  /** Takes an announcement to pass on. */
  add(announcement: Announcement, nowMs: number): void {
    const cell = this.cellFor(announcement);
    const ofCell = this.held.get(cell) ?? new Map<string, Held>();
    this.held.set(cell, ofCell);
    const isWhole =
      this.isWholeDue(announcement) || ofCell.get(announcement.endpointId)?.isWhole === true;
    ofCell.set(announcement.endpointId, { announcement, heardAtMs: nowMs, isWhole });
  }

  /** Takes what has gathered: messages and the entries that each goes to. */
  take(nowMs: number): { to: readonly string[]; message: SpreadMessage }[] {
    const messages = [...this.held].map(([cell, ofCell]) => ({
      to: (this.cells.get(cell) ?? []).filter((name) => name !== this.self),
      message: messageOf([...ofCell.values()], nowMs),
    }));
    this.held.clear();
    return messages;
  }

  private cellFor({ endpointId, availabilityZone }: Announcement): string {
    return cellOfEndpoint(this.cells, endpointId, availabilityZone);
  }

  private isWholeDue(announcement: Announcement): boolean {
    const form = lastingForm(announcement);
    const sent = this.sentForm.get(announcement.endpointId);
    const news = (announcement.cachedPrefixes?.length ?? 0) > 0;
    if (sent?.form !== form || sent.shorts >= WHOLE_EVERY || news) {
      this.sentForm.set(announcement.endpointId, { form, shorts: 0 });
      return true;
    }
    sent.shorts += 1;
    return false;
  }
}

/** The heartbeat that a short form stands for. */
export function heartbeatOf(short: SpreadMessage['short'][number]): {
  beat: Heartbeat;
  ageMs: number;
} {
  const [endpointId, incarnation, sequence, running, waiting, ageMs] = short;
  return { beat: { endpointId, incarnation, sequence, running, waiting }, ageMs };
}

/** Everything in an announcement that seldom changes. */
function lastingForm(announcement: Announcement): string {
  const { incarnation, url, models, services, leaving, load, checksFencing } = announcement;
  return JSON.stringify([
    incarnation,
    url,
    models,
    services,
    leaving,
    load.capacity,
    checksFencing,
  ]);
}

function messageOf(held: readonly Held[], nowMs: number): SpreadMessage {
  const whole = held.filter((one) => one.isWhole);
  const short = held.filter((one) => !one.isWhole);
  return {
    whole: whole.map((one) => [one.announcement, nowMs - one.heardAtMs] as const),
    short: short.map(({ announcement, heardAtMs }) => {
      const { endpointId, incarnation, sequence, load } = announcement;
      const ageMs = Math.round(nowMs - heardAtMs);
      return [endpointId, incarnation, sequence, load.running, load.waiting, ageMs] as const;
    }),
  };
}
