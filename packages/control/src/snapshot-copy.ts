/**
 * Copies a snapshot and the files it refers to from another instance, piece by piece.
 */
import { ShedlineError } from '@shedline/errors';
import type { ItemFiles } from '@shedline/storage';
import type { SnapshotManifest } from './group-host.js';
import type { StateFile } from './state-machine.js';

const CHUNK_BYTES = 512 * 1024;

/** Asks the source for one piece of a file. */
export type ChunkReader = (file: string, offset: number, sizeBytes: number) => Promise<Uint8Array>;

/** Options of {@link copyFiles}. */
export interface CopyFilesOptions {
  readonly manifest: SnapshotManifest;
  /** Files that are here already; replicas hold the same bytes, so only the rest is copied. */
  readonly held: readonly StateFile[];
  readonly files: ItemFiles;
  readonly read: ChunkReader;
  /** Whether the copy still makes sense; asked before each write. */
  readonly isWanted: () => boolean;
}

/** Copies what is missing and syncs it; gives the bytes copied. */
export async function copyFiles(options: CopyFilesOptions): Promise<number> {
  const heldBytes = new Map(options.held.map(({ file, sizeBytes }) => [file, sizeBytes]));
  let copied = 0;
  for (const { file, sizeBytes } of options.manifest.files) {
    const from = Math.min(heldBytes.get(file) ?? 0, sizeBytes);
    copied += await copyFile(options, file, from, sizeBytes);
  }
  await options.files.sync();
  return copied;
}

async function copyFile(
  options: CopyFilesOptions,
  file: string,
  fromOffset: number,
  sizeBytes: number,
): Promise<number> {
  let offset = fromOffset;
  while (offset < sizeBytes) {
    const wanted = Math.min(CHUNK_BYTES, sizeBytes - offset);
    const chunk = await options.read(file, offset, wanted);
    if (!options.isWanted()) {
      const message = 'the group moved on while its snapshot was copied';
      throw new ShedlineError({ type: 'unavailable', message, step: 'copy snapshot', peer: file });
    }
    if (chunk.length === 0) break;
    options.files.writeRaw(file, offset, chunk);
    offset += chunk.length;
  }
  return offset - fromOffset;
}
