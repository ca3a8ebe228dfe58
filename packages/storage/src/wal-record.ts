/**
 * Contents of the frames of the write-ahead log.
 */
import { pack, unpack } from 'msgpackr';
import type { EntryKind, GroupConfig, HardState, LogEntry } from '@shedline/consensus';

/** What one group wants synced. */
export interface GroupBatch {
  readonly group: number;
  readonly hardState?: HardState | undefined;
  /** Replace all stored entries from the first one's index on. */
  readonly entries: readonly LogEntry[];
}

type PackedEntry = [number, number, EntryKind, Uint8Array, GroupConfig | null];
type PackedBatch = [number, [number, string] | null, PackedEntry[]];

/** Batches as the body of a frame. */
export function encodeBatches(batches: readonly GroupBatch[]): Buffer {
  const packed = batches.map((batch): PackedBatch => {
    const hardState = batch.hardState;
    return [
      batch.group,
      hardState === undefined ? null : [hardState.term, hardState.votedFor],
      batch.entries.map((e): PackedEntry => [e.index, e.term, e.kind, e.data, e.config ?? null]),
    ];
  });
  return pack(packed);
}

/** The batches of a frame's body. */
export function decodeBatches(body: Buffer): GroupBatch[] {
  const packed = unpack(body) as PackedBatch[];
  return packed.map(([group, hardState, entries]) => ({
    group,
    hardState: hardState === null ? undefined : { term: hardState[0], votedFor: hardState[1] },
    entries: entries.map(([index, term, kind, data, config]) => ({
      index,
      term,
      kind,
      data: new Uint8Array(data),
      ...(config === null ? {} : { config }),
    })),
  }));
}
