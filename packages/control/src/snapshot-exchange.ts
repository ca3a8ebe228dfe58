/**
 * Snapshots between instances: the leader offers, the member that is far behind copies.
 */
import { instanceOf } from '@shedline/consensus';
import type { Logger } from '@shedline/logger';
import type { DiskItemFiles } from '@shedline/storage';
import type { PeerClient } from '@shedline/transport';
import type { GroupHost, SnapshotManifest } from './group-host.js';
import { copyFiles } from './snapshot-copy.js';

const COPY_TIMEOUT_MS = 5000;
const RETRY_MS = 10_000;

/** Options of {@link SnapshotExchange}. */
export interface SnapshotExchangeOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly peer: (instance: string) => PeerClient | undefined;
  /** The member of a group here; opened if it does not exist yet. */
  readonly hostFor: (group: number) => GroupHost | undefined;
  readonly filesOf: (group: number) => DiskItemFiles;
  readonly isStopped: () => boolean;
}

/** Offers and copies under way. */
export class SnapshotExchange {
  private readonly options: SnapshotExchangeOptions;
  private readonly copying = new Set<number>();
  private readonly offeredAtMs = new Map<string, number>();

  constructor(options: SnapshotExchangeOptions) {
    this.options = options;
  }

  /** Tells a member that it has to copy a snapshot from here. */
  offer(group: number, memberId: string, leaderId: string): void {
    const key = `${group}|${memberId}`;
    const offeredAtMs = this.options.nowMs();
    this.offeredAtMs.set(key, offeredAtMs);
    this.options.peer(instanceOf(memberId))?.send('snapshotOffer', { group, leaderId });
    setTimeout(() => {
      // The offer or its answer was lost: start again from what matches.
      if (this.offeredAtMs.get(key) === offeredAtMs) this.done(group, memberId);
    }, RETRY_MS).unref();
  }

  /** Notes that a member has ended its copy, well or not. */
  done(group: number, memberId: string): void {
    this.offeredAtMs.delete(`${group}|${memberId}`);
    this.options.hostFor(group)?.consensus.snapshotSent(memberId);
  }

  /** Copies the snapshot of a group from its leader. */
  async copy(group: number, leaderId: string, memberId: string): Promise<void> {
    const { hostFor, peer, logger, filesOf, isStopped } = this.options;
    const host = hostFor(group);
    const source = peer(instanceOf(leaderId));
    if (host === undefined || source === undefined || this.copying.has(group)) return;
    this.copying.add(group);
    const startedAt = host.appliedIndex;
    try {
      const asked = await source.request('manifest', { group }, COPY_TIMEOUT_MS);
      const manifest = asked as SnapshotManifest;
      const copiedBytes = await copyFiles({
        manifest,
        held: host.machine.fileSizes(),
        files: filesOf(group),
        read: async (file, offset, sizeBytes) => {
          const piece = { group, file, offset, sizeBytes };
          return (await source.request('chunk', piece, COPY_TIMEOUT_MS)) as Uint8Array;
        },
        isWanted: () => host.appliedIndex === startedAt && !isStopped(),
      });
      const installed = await host.install(manifest, leaderId);
      logger.info('snapshot copied', { group, copiedBytes, installed, peer: leaderId });
    } finally {
      this.copying.delete(group);
      source.send('snapshotDone', { group, memberId });
    }
  }
}
