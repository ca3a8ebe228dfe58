/**
 * The processes that are up according to the lists of several control processes. A process counts
 * as up if any list contains it, as a single control process may be partitioned from it.
 */
import type { MemberKind, MemberRecord } from './member-record.js';
import type { MemberChanges } from './member-registry.js';

/**
 * Time since the last list message of a control process after which its list is ignored if others
 * are fresh.
 */
const LIST_LEASE_MS = 2600;

const MEMBER_KINDS: readonly MemberKind[] = ['entry', 'control', 'store'];

interface ReceivedList {
  readonly members: Map<string, MemberRecord>;
  version: number;
  lastReceivedAtMs: number;
}

/** Union of the recently received lists. */
export class MemberView {
  private readonly lists = new Map<string, ReceivedList>();
  /** Increases for each kind with each change of its records in a list. */
  private readonly changeCounts: Record<MemberKind, number> = { entry: 0, control: 0, store: 0 };
  /**
   * Last result of {@link live} for each kind, with a key of the lists that it was computed from.
   */
  private readonly cachedUnions = new Map<
    MemberKind,
    { readonly key: string; members: MemberRecord[] }
  >();

  /**
   * Applies the list of a control process, or changes of it. Returns false if the changes apply to
   * another version than the known one: the sender then has to send the whole list.
   */
  applyChanges(from: string, changes: MemberChanges, nowMs: number): boolean {
    const { version, since, changed, gone } = changes;
    const known = this.lists.get(from);
    if (since === undefined) {
      const members = new Map(changed.map((record) => [record.name, record]));
      this.lists.set(from, { members, version, lastReceivedAtMs: nowMs });
      for (const kind of MEMBER_KINDS) this.changeCounts[kind] += 1;
      return true;
    }
    if (known?.version !== since) return false;
    for (const name of gone) this.removeFrom(known, name);
    for (const record of changed) this.putInto(known, record);
    known.version = version;
    known.lastReceivedAtMs = nowMs;
    return true;
  }

  private putInto({ members }: ReceivedList, record: MemberRecord): void {
    members.set(record.name, record);
    this.changeCounts[record.kind] += 1;
  }

  private removeFrom({ members }: ReceivedList, name: string): void {
    const removed = members.get(name);
    if (removed === undefined) return;
    members.delete(name);
    this.changeCounts[removed.kind] += 1;
  }

  /**
   * Returns the lists in use with their control processes: the fresh ones, or all if none is fresh.
   */
  private currentLists(nowMs: number): [string, ReceivedList][] {
    const all = [...this.lists];
    const fresh = all.filter(([, list]) => nowMs - list.lastReceivedAtMs < LIST_LEASE_MS);
    return fresh.length > 0 ? fresh : all;
  }

  /**
   * Returns the processes of a kind that are up according to the lists of all others than `name`;
   * not cached.
   */
  liveExcept(kind: MemberKind, name: string, nowMs: number): MemberRecord[] {
    const others = this.currentLists(nowMs).filter(([from]) => from !== name);
    return unionOf(
      kind,
      others.map(([, list]) => list),
    );
  }

  /** Whether the list of some control process is fresh. */
  isFresh(nowMs: number): boolean {
    return [...this.lists.values()].some((list) => nowMs - list.lastReceivedAtMs < LIST_LEASE_MS);
  }

  /**
   * Returns the processes of a kind that are up, one record each. The result is the same array until
   * a record of this kind changes: every control process reports each change, and only the first
   * report changes the union.
   */
  live(kind: MemberKind, nowMs: number): readonly MemberRecord[] {
    const current = this.currentLists(nowMs);
    const key = `${this.changeCounts[kind]}|${current.map(([name]) => name).join()}`;
    const cached = this.cachedUnions.get(kind);
    if (cached?.key === key) return cached.members;
    const union = unionOf(
      kind,
      current.map(([, list]) => list),
    );
    const members = cached !== undefined && isSame(union, cached.members) ? cached.members : union;
    this.cachedUnions.set(kind, { key, members });
    return members;
  }
}

/** Whether two unions contain the same versions of the same records. */
function isSame(a: readonly MemberRecord[], b: readonly MemberRecord[]): boolean {
  return (
    a.length === b.length &&
    a.every(({ name, epoch, sequence }, index) => {
      const other = b[index];
      return name === other?.name && epoch === other.epoch && sequence === other.sequence;
    })
  );
}

/** Returns the records of a kind in any of the lists, one per process, ordered by name. */
function unionOf(kind: MemberKind, lists: readonly ReceivedList[]): MemberRecord[] {
  const byName = new Map<string, MemberRecord>();
  for (const { members } of lists) {
    for (const record of members.values()) {
      if (record.kind !== kind) continue;
      const known = byName.get(record.name);
      if (known === undefined || isNewer(record, known)) byName.set(record.name, record);
    }
  }
  return [...byName.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/**
 * Whether a record is newer than the known one. Within one incarnation the higher sequence is
 * newer. Records of different incarnations can't be ordered, so the known one is kept.
 */
function isNewer(record: MemberRecord, known: MemberRecord): boolean {
  return record.epoch === known.epoch && record.sequence > known.sequence;
}
