/**
 * Copies the files that a snapshot refers to from another instance, chunk by chunk.
 */
import { ShedlineError } from '@shedline/errors';
import type { ItemFiles } from '@shedline/storage';
import type { SnapshotManifest } from './group-host.js';
import type { StateFile } from './state-machine.js';

const CHUNK_BYTES = 512 * 1024;

/** Reads a chunk of a file from the source instance. */
export type ChunkReader = (file: string, offset: number, sizeBytes: number) => Promise<Uint8Array>;

/** Options of {@link copyFiles}. */
export interface CopyFilesOptions {
  readonly manifest: SnapshotManifest;
  /** Local files. Replicas hold the same bytes at the same offsets, so only the rest is copied. */
  readonly localFiles: readonly StateFile[];
  readonly files: ItemFiles;
  readonly readChunk: ChunkReader;
  /** Whether the copy is still needed; checked before each write. */
  readonly isStillNeeded: () => boolean;
}

/**
 * Copies the missing bytes and syncs the files; returns the number of bytes copied. Throws if a file
 * ends early at the source, which may have removed it meanwhile: its items could not be read.
 */
export async function copyFiles(options: CopyFilesOptions): Promise<number> {
  const localBytes = new Map(options.localFiles.map(({ file, sizeBytes }) => [file, sizeBytes]));
  let copiedBytes = 0;
  for (const { file, sizeBytes } of options.manifest.files) {
    const fromOffset = Math.min(localBytes.get(file) ?? 0, sizeBytes);
    copiedBytes += await copyFile(options, file, fromOffset, sizeBytes);
  }
  await options.files.sync();
  return copiedBytes;
}

async function copyFile(
  options: CopyFilesOptions,
  file: string,
  fromOffset: number,
  sizeBytes: number,
): Promise<number> {
  let offset = fromOffset;
  while (offset < sizeBytes) {
    const requestedBytes = Math.min(CHUNK_BYTES, sizeBytes - offset);
    const chunk = await options.readChunk(file, offset, requestedBytes);
    if (!options.isStillNeeded()) {
      const message = 'the group advanced or stopped while its snapshot was copied';
      throw new ShedlineError({ type: 'unavailable', message, step: 'copy snapshot', peer: file });
    }
    if (chunk.length === 0) {
      const message = `the source has only ${offset} of ${sizeBytes} bytes; its next snapshot is copied instead`;
      throw new ShedlineError({ type: 'unavailable', message, step: 'copy snapshot', peer: file });
    }
    options.files.writeRaw(file, offset, chunk);
    offset += chunk.length;
  }
  return offset - fromOffset;
}
