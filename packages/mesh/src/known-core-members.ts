/**
 * Remembers the control processes with a disk beyond the leases of the lists: one that is silent may be
 * behind a cut, and come back with nobody on this side starting anew.
 */
import type { PeerAddress } from '@shedline/transport';
import { isCore } from './control-choice.js';
import type { MemberRecord } from './member-record.js';

/** Time for which a silent control process is remembered: longer than regions lose each other. */
const REMEMBER_MS = 24 * 60 * 60 * 1000;
/** Silent control processes that are remembered, the last heard ones: a few more than a large fleet has. */
const MAX_REMEMBERED = 32;

interface Remembered {
  readonly address: PeerAddress;
  heardAtMs: number;
  isSilent: boolean;
}

/** A control process that is heard again. */
export interface ReappearedControl {
  readonly name: string;
  readonly silentMs: number;
}

/** What changed since the last look at the list of processes that are up. */
export interface CoreChanges {
  /** Names of control processes that no list holds any more. */
  readonly silent: readonly string[];
  readonly reappeared: readonly ReappearedControl[];
}

/** Control processes with a disk that were up at some time. */
export class KnownCoreMembers {
  private readonly remembered = new Map<string, Remembered>();

  /** Takes the control processes that are up now. */
  note(controls: readonly MemberRecord[], nowMs: number): CoreChanges {
    const core = controls.filter(isCore);
    const reappeared = core.flatMap((record) => this.hear(record, nowMs) ?? []);
    const silent = this.noteSilent(new Set(core.map(({ name }) => name)));
    this.forget(nowMs);
    return { silent, reappeared };
  }

  /** Those that are silent now. */
  get silent(): readonly PeerAddress[] {
    const all = [...this.remembered.values()];
    return all.filter(({ isSilent }) => isSilent).map(({ address }) => address);
  }

  private hear({ name, host, port }: MemberRecord, nowMs: number): ReappearedControl | undefined {
    const known = this.remembered.get(name);
    this.remembered.set(name, {
      address: { name, host, port },
      heardAtMs: nowMs,
      isSilent: false,
    });
    if (known?.isSilent !== true) return undefined;
    return { name, silentMs: Math.round(nowMs - known.heardAtMs) };
  }

  private noteSilent(live: ReadonlySet<string>): string[] {
    const newly = [...this.remembered].filter(([name, one]) => !one.isSilent && !live.has(name));
    for (const [, one] of newly) one.isSilent = true;
    return newly.map(([name]) => name);
  }

  private forget(nowMs: number): void {
    const silent = [...this.remembered].filter(([, { isSilent }]) => isSilent);
    silent.sort(([, a], [, b]) => b.heardAtMs - a.heardAtMs);
    for (const [place, [name, { heardAtMs }]] of silent.entries()) {
      const isOld = nowMs - heardAtMs >= REMEMBER_MS;
      if (place >= MAX_REMEMBERED || isOld) this.remembered.delete(name);
    }
  }
}
