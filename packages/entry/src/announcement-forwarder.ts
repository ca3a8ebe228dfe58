/**
 * Forwards announcements to the entries of the observer set of the endpoint: in full if something
 * has changed and periodically, otherwise as short heartbeats.
 */
import { observerSetOf, observerSetOfEndpoint, planObserverSets } from '@shedline/directory';
import type { Heartbeat, ObserverSets, ZonedEntry } from '@shedline/directory';
import type { Announcement } from '@shedline/types';

/** Number of short heartbeats of an endpoint between two full announcements. */
const SHORT_HEARTBEATS_PER_FULL = 10;

/**
 * Message to the entries of one observer set. It contains ages instead of times, because the clocks
 * of the entries may differ.
 */
export interface AnnouncementsMessage {
  readonly whole: readonly (readonly [Announcement, number])[];
  readonly short: readonly (readonly [string, number, number, number, number, number])[];
}

/** Options of {@link AnnouncementForwarder}. */
export interface AnnouncementForwarderOptions {
  readonly self: string;
  readonly entries: readonly ZonedEntry[];
  readonly observerSetSize: number;
}

interface PendingAnnouncement {
  readonly announcement: Announcement;
  readonly receivedAtMs: number;
  readonly isFull: boolean;
}

/** Collects announcements by the observer set that receives them. */
export class AnnouncementForwarder {
  private readonly self: string;
  private readonly observerSets: ObserverSets;
  private readonly ownObserverSet: string;
  private readonly pending = new Map<string, Map<string, PendingAnnouncement>>();
  private readonly lastSent = new Map<string, { stableFields: string; shortCount: number }>();

  constructor(options: AnnouncementForwarderOptions) {
    this.self = options.self;
    this.observerSets = planObserverSets(options.entries, options.observerSetSize);
    this.ownObserverSet = observerSetOf(this.observerSets, options.self);
  }

  /** The entries that observe the same endpoints as this one, this one included. */
  get observerSetMembers(): readonly string[] {
    return this.observerSets.get(this.ownObserverSet) ?? [this.self];
  }

  /** Whether this entry is in the observer set of an endpoint, which receives its full load. */
  observes(announcement: Announcement): boolean {
    return this.observerSetFor(announcement) === this.ownObserverSet;
  }

  /** Queues an announcement to be forwarded. */
  add(announcement: Announcement, nowMs: number): void {
    const observerSet = this.observerSetFor(announcement);
    const pendingOfSet = this.pending.get(observerSet) ?? new Map<string, PendingAnnouncement>();
    this.pending.set(observerSet, pendingOfSet);
    const isFull =
      this.isFullDue(announcement) || pendingOfSet.get(announcement.endpointId)?.isFull === true;
    pendingOfSet.set(announcement.endpointId, { announcement, receivedAtMs: nowMs, isFull });
  }

  /** Removes the queued announcements and returns them as messages with their recipients. */
  takeMessages(nowMs: number): { to: readonly string[]; message: AnnouncementsMessage }[] {
    const messages = [...this.pending].map(([observerSet, pendingOfSet]) => ({
      to: (this.observerSets.get(observerSet) ?? []).filter((name) => name !== this.self),
      message: toMessage([...pendingOfSet.values()], nowMs),
    }));
    this.pending.clear();
    return messages;
  }

  private observerSetFor({ endpointId, availabilityZone }: Announcement): string {
    return observerSetOfEndpoint(this.observerSets, endpointId, availabilityZone);
  }

  private isFullDue(announcement: Announcement): boolean {
    const stableFields = stableFieldsOf(announcement);
    const lastSent = this.lastSent.get(announcement.endpointId);
    const hasNewPrefixes = (announcement.cachedPrefixes?.length ?? 0) > 0;
    if (
      lastSent?.stableFields !== stableFields ||
      lastSent.shortCount >= SHORT_HEARTBEATS_PER_FULL ||
      hasNewPrefixes
    ) {
      this.lastSent.set(announcement.endpointId, { stableFields, shortCount: 0 });
      return true;
    }
    lastSent.shortCount += 1;
    return false;
  }
}

/** Returns the heartbeat encoded in a short form, and its age. */
export function heartbeatOf(short: AnnouncementsMessage['short'][number]): {
  heartbeat: Heartbeat;
  ageMs: number;
} {
  const [endpointId, incarnation, sequence, running, waiting, ageMs] = short;
  return { heartbeat: { endpointId, incarnation, sequence, running, waiting }, ageMs };
}

/** Returns the fields of an announcement that rarely change, as text to compare. */
function stableFieldsOf(announcement: Announcement): string {
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

function toMessage(
  announcements: readonly PendingAnnouncement[],
  nowMs: number,
): AnnouncementsMessage {
  const whole = announcements.filter((pending) => pending.isFull);
  const short = announcements.filter((pending) => !pending.isFull);
  return {
    whole: whole.map((pending) => [pending.announcement, nowMs - pending.receivedAtMs] as const),
    short: short.map(({ announcement, receivedAtMs }) => {
      const { endpointId, incarnation, sequence, load } = announcement;
      const ageMs = Math.round(nowMs - receivedAtMs);
      return [endpointId, incarnation, sequence, load.running, load.waiting, ageMs] as const;
    }),
  };
}
