/**
 * The processes that a control process has heard from lately.
 */
import type { MemberRecord } from './member-record.js';

/** Silence after which a process no longer counts as up. */
export const MEMBER_LEASE_MS = 1700;
/** The same for a process whose connection has closed: time to connect again. */
export const CLOSED_LEASE_MS = 600;

interface Heard {
  record: MemberRecord;
  heardAtMs: number;
}

/** A list of live processes; its version grows with each change. */
export interface MemberList {
  readonly version: number;
  readonly members: readonly MemberRecord[];
}

/** Records heard directly, with leases. */
export class MemberRegister {
  private readonly heard = new Map<string, Heard>();
  private list: MemberList = { version: 0, members: [] };
  private isDirty = false;

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
    this.heard.set(record.name, { record, heardAtMs: nowMs });
    this.isDirty = true;
  }

  /** Notes that the connection of a process closed: it is gone unless it comes back soon. */
  connectionClosed(name: string, nowMs: number): void {
    const known = this.heard.get(name);
    if (known === undefined) return;
    known.heardAtMs = Math.min(known.heardAtMs, nowMs - MEMBER_LEASE_MS + CLOSED_LEASE_MS);
  }

  /** Notes that a process said that it ends. */
  forget(name: string): void {
    if (this.heard.delete(name)) this.isDirty = true;
  }

  /** The processes that are up now. */
  live(nowMs: number): MemberList {
    for (const [name, { heardAtMs }] of this.heard) {
      if (nowMs - heardAtMs >= MEMBER_LEASE_MS) this.forget(name);
    }
    if (this.isDirty) {
      const members = [...this.heard.values()].map(({ record }) => record);
      this.list = { version: this.list.version + 1, members };
      this.isDirty = false;
    }
    return this.list;
  }
}
