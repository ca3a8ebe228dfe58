/**
 * Transfers snapshots between instances: the leader offers a snapshot to a member that lacks log
 * entries, and the member copies it.
 */
import { instanceOf } from '@shedline/consensus';
import type { Logger } from '@shedline/logger';
import type { DiskItemFiles } from '@shedline/storage';
import type { PeerClient } from '@shedline/transport';
import type { GroupHost, SnapshotManifest } from './group-host.js';
import { copyFiles } from './snapshot-copy.js';

const COPY_TIMEOUT_MS = 5000;
const OFFER_TIMEOUT_MS = 10_000;

/** Options of {@link SnapshotExchange}. */
export interface SnapshotExchangeOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly peer: (instance: string) => PeerClient | undefined;
  /** Returns the local member of a group; opens it if it does not exist yet. */
  readonly hostFor: (group: number) => GroupHost | undefined;
  readonly filesOf: (group: number) => DiskItemFiles;
  readonly isStopped: () => boolean;
}

/** Snapshot offers and copies in progress. */
export class SnapshotExchange {
  private readonly options: SnapshotExchangeOptions;
  private readonly copying = new Set<number>();
  private readonly offeredAtMs = new Map<string, number>();

  constructor(options: SnapshotExchangeOptions) {
    this.options = options;
  }

  /** Offers a member the snapshot of a group for copying. */
  offer(group: number, memberId: string, leaderId: string): void {
    const key = `${group}|${memberId}`;
    const offeredAtMs = this.options.nowMs();
    this.offeredAtMs.set(key, offeredAtMs);
    this.options.peer(instanceOf(memberId))?.send('snapshotOffer', { group, leaderId });
    setTimeout(() => {
      // The offer or its completion message was lost: resume replication from the matching index.
      if (this.offeredAtMs.get(key) === offeredAtMs) this.finish(group, memberId);
    }, OFFER_TIMEOUT_MS).unref();
  }

  /** Handles the end of the copy of a member, successful or not. */
  finish(group: number, memberId: string): void {
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
    const initialAppliedIndex = host.appliedIndex;
    try {
      const reply = await source.request('manifest', { group }, COPY_TIMEOUT_MS);
      const manifest = reply as SnapshotManifest;
      const copiedBytes = await copyFiles({
        manifest,
        localFiles: host.machine.fileSizes(),
        files: filesOf(group),
        readChunk: async (file, offset, sizeBytes) => {
          const chunk = { group, file, offset, sizeBytes };
          return (await source.request('chunk', chunk, COPY_TIMEOUT_MS)) as Uint8Array;
        },
        isStillNeeded: () => host.appliedIndex === initialAppliedIndex && !isStopped(),
      });
      const installed = await host.install(manifest, leaderId);
      logger.info('snapshot copied', { group, copiedBytes, installed, peer: leaderId });
    } finally {
      this.copying.delete(group);
      source.send('snapshotDone', { group, memberId });
    }
  }
}
