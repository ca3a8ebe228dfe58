/**
 * Registry of the processes that announced themselves to a control process recently, with the
 * changes since any version that a reader has.
 */
import type { MemberRecord } from './member-record.js';

/** Time without an announcement after which a process no longer counts as up. */
export const MEMBER_LEASE_MS = 1700;
/** The same time for a process whose connection has closed: the time that it has to reconnect. */
export const CLOSED_LEASE_MS = 600;
/**
 * Maximum number of departures kept for readers; a reader that missed more of them gets the whole
 * list.
 */
const MAX_DEPARTURES = 256;

interface RegisteredMember {
  record: MemberRecord;
  lastSeenAtMs: number;
  /** Version of the list that this record came with. */
  version: number;
}

/** A list of the processes that are up; its version increases with each change. */
export interface MemberList {
  readonly version: number;
  readonly members: readonly MemberRecord[];
}

/** Changes of a list of processes. */
export interface MemberChanges {
  /** Version of the resulting list. */
  readonly version: number;
  /** Version that the changes apply to; omitted if `changed` is the whole list. */
  readonly since?: number;
  readonly changed: readonly MemberRecord[];
  /** Names of processes that are no longer up. */
  readonly gone: readonly string[];
}

/** Records of directly received announcements, with leases. */
export class MemberRegistry {
  private readonly members = new Map<string, RegisteredMember>();
  /** Version at which each process was removed, oldest first. */
  private readonly departures = new Map<string, number>();
  private version = 0;
  /** Oldest version whose readers can still get all departures. */
  private oldestReaderVersion = 0;

  /**
   * Registers a process or renews its lease; ignores an outdated record of the same incarnation.
   */
  noteAnnouncement(record: MemberRecord, nowMs: number): void {
    const known = this.members.get(record.name);
    const isSame =
      known?.record.epoch === record.epoch && known.record.sequence === record.sequence;
    if (known !== undefined && isSame && nowMs - known.lastSeenAtMs < MEMBER_LEASE_MS) {
      known.lastSeenAtMs = nowMs;
      return;
    }
    const isOutdated =
      known?.record.epoch === record.epoch && known.record.sequence > record.sequence;
    if (isOutdated) return;
    this.version += 1;
    this.members.set(record.name, { record, lastSeenAtMs: nowMs, version: this.version });
    this.departures.delete(record.name);
  }

  /** Notes that the connection of a process closed: it is removed unless it reconnects soon. */
  connectionClosed(name: string, nowMs: number): void {
    const known = this.members.get(name);
    if (known === undefined) return;
    known.lastSeenAtMs = Math.min(known.lastSeenAtMs, nowMs - MEMBER_LEASE_MS + CLOSED_LEASE_MS);
  }

  /** Removes a process, as when it announced that it stops. */
  remove(name: string): void {
    if (!this.members.delete(name)) return;
    this.version += 1;
    this.departures.set(name, this.version);
    this.trimDepartures();
  }

  /** Returns the version of the list of processes that are up now. */
  versionAt(nowMs: number): number {
    this.removeExpired(nowMs);
    return this.version;
  }

  /** Returns the processes that are up now. */
  live(nowMs: number): MemberList {
    this.removeExpired(nowMs);
    const members = [...this.members.values()].map(({ record }) => record);
    return { version: this.version, members };
  }

  /** Returns the changes since version `since`; the whole list if it is undefined or too old. */
  changesSince(since: number | undefined, nowMs: number): MemberChanges {
    this.removeExpired(nowMs);
    const { version } = this;
    if (since === undefined || since < this.oldestReaderVersion) {
      return { version, changed: this.live(nowMs).members, gone: [] };
    }
    if (since === version) return { version, since, changed: [], gone: [] };
    const changed = [...this.members.values()].filter((member) => member.version > since);
    const departed = [...this.departures].filter(([, departedAt]) => departedAt > since);
    return {
      version,
      since,
      changed: changed.map(({ record }) => record),
      gone: departed.map(([name]) => name),
    };
  }

  private removeExpired(nowMs: number): void {
    for (const [name, { lastSeenAtMs }] of this.members) {
      if (nowMs - lastSeenAtMs >= MEMBER_LEASE_MS) this.remove(name);
    }
  }

  private trimDepartures(): void {
    for (const [name, departedAt] of this.departures) {
      if (this.departures.size <= MAX_DEPARTURES) return;
      this.departures.delete(name);
      this.oldestReaderVersion = departedAt;
    }
  }
}
