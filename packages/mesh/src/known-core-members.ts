/**
 * Remembers the control processes with a disk after their leases expire: a member that is missing
 * from all lists may be separated by a network partition and reconnect without a restart of any
 * process.
 */
import type { PeerAddress } from '@shedline/transport';
import { isCore } from './control-choice.js';
import type { MemberRecord } from './member-record.js';

/**
 * Time for which a missing control process is remembered: longer than a partition between regions
 * lasts.
 */
const MISSING_RETENTION_MS = 24 * 60 * 60 * 1000;
/**
 * Maximum number of missing control processes, the last seen ones: a few more than a large fleet
 * has.
 */
const MAX_MISSING = 32;

interface KnownControl {
  readonly address: PeerAddress;
  lastSeenAtMs: number;
  isMissing: boolean;
  /** When it was found to be missing; Infinity if it is listed. */
  missingSinceMs: number;
}

/** A control process that is listed again. */
export interface ReappearedControl {
  readonly name: string;
  /** Time since it was last listed before. */
  readonly silentMs: number;
}

/** Changes since the last update from the lists of processes that are up. */
export interface CoreChanges {
  /** Names of control processes that no list contains any more. */
  readonly missing: readonly string[];
  readonly reappeared: readonly ReappearedControl[];
}

/** The control processes with a disk that have been up at some time. */
export class KnownCoreMembers {
  private readonly known = new Map<string, KnownControl>();

  /** Updates the known members from the control processes that are up now. */
  update(controls: readonly MemberRecord[], nowMs: number): CoreChanges {
    const core = controls.filter(isCore);
    const reappeared = core.flatMap((record) => this.noteSeen(record, nowMs) ?? []);
    const missing = this.markMissing(new Set(core.map(({ name }) => name)), nowMs);
    this.removeExpired(nowMs);
    return { missing, reappeared };
  }

  /** Members that no list contains now. */
  get missing(): readonly PeerAddress[] {
    const all = [...this.known.values()];
    return all.filter(({ isMissing }) => isMissing).map(({ address }) => address);
  }

  /** Returns the names of the members that are listed now or were at some time after `sinceMs`. */
  listedSince(sinceMs: number): string[] {
    return [...this.known]
      .filter(([, { missingSinceMs }]) => missingSinceMs >= sinceMs)
      .map(([name]) => name);
  }

  private noteSeen(
    { name, host, port }: MemberRecord,
    nowMs: number,
  ): ReappearedControl | undefined {
    const known = this.known.get(name);
    this.known.set(name, {
      address: { name, host, port },
      lastSeenAtMs: nowMs,
      isMissing: false,
      missingSinceMs: Infinity,
    });
    if (known?.isMissing !== true) return undefined;
    return { name, silentMs: Math.round(nowMs - known.lastSeenAtMs) };
  }

  private markMissing(live: ReadonlySet<string>, nowMs: number): string[] {
    const newlyMissing = [...this.known].filter(
      ([name, control]) => !control.isMissing && !live.has(name),
    );
    for (const [, control] of newlyMissing) {
      control.isMissing = true;
      control.missingSinceMs = nowMs;
    }
    return newlyMissing.map(([name]) => name);
  }

  private removeExpired(nowMs: number): void {
    const missing = [...this.known].filter(([, { isMissing }]) => isMissing);
    missing.sort(([, a], [, b]) => b.lastSeenAtMs - a.lastSeenAtMs);
    for (const [index, [name, { lastSeenAtMs }]] of missing.entries()) {
      const isExpired = nowMs - lastSeenAtMs >= MISSING_RETENTION_MS;
      if (index >= MAX_MISSING || isExpired) this.known.delete(name);
    }
  }
}
