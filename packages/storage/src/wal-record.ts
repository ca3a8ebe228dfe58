/**
 * Encodes and decodes the bodies of the frames of the write-ahead log.
 */
import { pack, unpack } from 'msgpackr';
import type { EntryKind, GroupConfig, HardState, LogEntry } from '@shedline/consensus';

/** Raft state of one group to be synced. */
export interface GroupBatch {
  readonly group: number;
  readonly hardState?: HardState | undefined;
  /** Entries that replace all stored entries from the index of the first on. */
  readonly entries: readonly LogEntry[];
}

type PackedEntry = [number, number, EntryKind, Uint8Array, GroupConfig | null];
type PackedBatch = [number, [number, string] | null, PackedEntry[]];

/** Encodes batches as the body of a frame. */
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

/** Decodes the batches in the body of a frame. */
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
