/**
 * The processes that are up, put together from the lists of several control processes: one that
 * is cut off from a process must not make it vanish for all.
 */
import type { MemberKind, MemberRecord } from './member-record.js';
import type { MemberChanges } from './member-registry.js';

/** Silence of a control process after which its list no longer counts beside fresher ones. */
const LIST_LEASE_MS = 2600;

interface HeldList {
  readonly members: Map<string, MemberRecord>;
  version: number;
  heardAtMs: number;
}

/** Union of the lists heard lately. */
export class MemberView {
  private readonly lists = new Map<string, HeldList>();
  /** Grows with each change of a list. */
  private changeCount = 0;
  /** What {@link live} gave last, and what it depended on. */
  private readonly answers = new Map<
    MemberKind,
    { readonly key: string; members: MemberRecord[] }
  >();

  /**
   * Takes the list of a control process, or what changed in it. False where the changes are to
   * a list that is not held here: then the sender has to begin again with the whole.
   */
  hear(from: string, changes: MemberChanges, nowMs: number): boolean {
    const { version, since, changed, gone } = changes;
    const known = this.lists.get(from);
    if (since === undefined) {
      const members = new Map(changed.map((record) => [record.name, record]));
      this.lists.set(from, { members, version, heardAtMs: nowMs });
      this.changeCount += 1;
      return true;
    }
    if (known?.version !== since) return false;
    if (gone.length > 0 || changed.length > 0) this.changeCount += 1;
    for (const name of gone) known.members.delete(name);
    for (const record of changed) known.members.set(record.name, record);
    known.version = version;
    known.heardAtMs = nowMs;
    return true;
  }

  /** Control processes whose lists count now; all of them where none is fresh. */
  private counting(nowMs: number): [string, HeldList][] {
    const all = [...this.lists];
    const fresh = all.filter(([, list]) => nowMs - list.heardAtMs < LIST_LEASE_MS);
    return fresh.length > 0 ? fresh : all;
  }

  /** The same by all lists but that of one process; not kept, for rare use. */
  liveExcept(kind: MemberKind, name: string, nowMs: number): MemberRecord[] {
    const others = this.counting(nowMs).filter(([from]) => from !== name);
    return unionOf(
      kind,
      others.map(([, list]) => list),
    );
  }

  /** Whether some control process has been heard lately. */
  isFresh(nowMs: number): boolean {
    return [...this.lists.values()].some((list) => nowMs - list.heardAtMs < LIST_LEASE_MS);
  }

  /** Processes of a kind that are up, one record each. */
  live(kind: MemberKind, nowMs: number): readonly MemberRecord[] {
    const counting = this.counting(nowMs);
    const key = `${this.changeCount}|${counting.map(([name]) => name).join()}`;
    const last = this.answers.get(kind);
    if (last?.key === key) return last.members;
    const members = unionOf(
      kind,
      counting.map(([, list]) => list),
    );
    this.answers.set(kind, { key, members });
    return members;
  }
}

/** Records of a kind in any of the lists, one a process, ordered by name. */
function unionOf(kind: MemberKind, lists: readonly HeldList[]): MemberRecord[] {
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

/** Within one run the higher sequence is newer; between runs either may be, so the first stays. */
function isNewer(record: MemberRecord, known: MemberRecord): boolean {
  return record.epoch === known.epoch && record.sequence > known.sequence;
}
