/**
 * The processes that a control process has heard from lately, and what changed since a reader
 * last heard of them.
 */
import type { MemberRecord } from './member-record.js';

/** Silence after which a process no longer counts as up. */
export const MEMBER_LEASE_MS = 1700;
/** The same for a process whose connection has closed: time to connect again. */
export const CLOSED_LEASE_MS = 600;
/** Departures that are remembered for readers; one that lags behind more gets the whole list. */
const REMEMBERED_DEPARTURES = 256;

interface Heard {
  record: MemberRecord;
  heardAtMs: number;
  /** Version of the list that this record came with. */
  version: number;
}

/** A list of live processes; its version grows with each change. */
export interface MemberList {
  readonly version: number;
  readonly members: readonly MemberRecord[];
}

/** What changed in a list of processes. */
export interface MemberChanges {
  /** Version of the list that results. */
  readonly version: number;
  /** Version that the changes apply to; left out where `changed` is the whole list. */
  readonly since?: number;
  readonly changed: readonly MemberRecord[];
  /** Names of processes that are no longer up. */
  readonly gone: readonly string[];
}

/** Records heard directly, with leases. */
export class MemberRegistry {
  private readonly heard = new Map<string, Heard>();
  /** Version at which each process departed, oldest first. */
  private readonly departures = new Map<string, number>();
  private version = 0;
  /** Readers of an older version cannot be told all departures any more. */
  private forgottenBefore = 0;

  /** Takes what a process says of itself. */
  hear(record: MemberRecord, nowMs: number): void {
    const known = this.heard.get(record.name);
    const isSame =
      known?.record.epoch === record.epoch && known.record.sequence === record.sequence;
    if (known !== undefined && isSame && nowMs - known.heardAtMs < MEMBER_LEASE_MS) {
      known.heardAtMs = nowMs;
      return;
    }
    const isOld = known?.record.epoch === record.epoch && known.record.sequence > record.sequence;
    if (isOld) return;
    this.version += 1;
    this.heard.set(record.name, { record, heardAtMs: nowMs, version: this.version });
    this.departures.delete(record.name);
  }

  /** Notes that the connection of a process closed: it is gone unless it comes back soon. */
  connectionClosed(name: string, nowMs: number): void {
    const known = this.heard.get(name);
    if (known === undefined) return;
    known.heardAtMs = Math.min(known.heardAtMs, nowMs - MEMBER_LEASE_MS + CLOSED_LEASE_MS);
  }

  /** Notes that a process said that it ends. */
  forget(name: string): void {
    if (!this.heard.delete(name)) return;
    this.version += 1;
    this.departures.set(name, this.version);
    this.trimDepartures();
  }

  /** Version of the list of processes that are up now. */
  versionAt(nowMs: number): number {
    this.dropSilent(nowMs);
    return this.version;
  }

  /** The processes that are up now. */
  live(nowMs: number): MemberList {
    this.dropSilent(nowMs);
    const members = [...this.heard.values()].map(({ record }) => record);
    return { version: this.version, members };
  }

  /** What a reader misses that has the list of version `since`; the whole list where it has none. */
  changesSince(since: number | undefined, nowMs: number): MemberChanges {
    this.dropSilent(nowMs);
    const { version } = this;
    if (since === undefined || since < this.forgottenBefore) {
      return { version, changed: this.live(nowMs).members, gone: [] };
    }
    if (since === version) return { version, since, changed: [], gone: [] };
    const heard = [...this.heard.values()].filter((one) => one.version > since);
    const gone = [...this.departures].filter(([, departed]) => departed > since);
    return {
      version,
      since,
      changed: heard.map(({ record }) => record),
      gone: gone.map(([name]) => name),
    };
  }

  private dropSilent(nowMs: number): void {
    for (const [name, { heardAtMs }] of this.heard) {
      if (nowMs - heardAtMs >= MEMBER_LEASE_MS) this.forget(name);
    }
  }

  private trimDepartures(): void {
    for (const [name, departed] of this.departures) {
      if (this.departures.size <= REMEMBERED_DEPARTURES) return;
      this.departures.delete(name);
      this.forgottenBefore = departed;
    }
  }
}
