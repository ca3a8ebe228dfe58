/**
 * Append-only files that hold the payloads and results of jobs.
 *
 * Every replica of a group applies the same log, so the files of all replicas hold the same
 * bytes at the same offsets. Only the state machine knows the valid length of a file: bytes after
 * it were written before a crash and are overwritten.
 *
 * A file that the state no longer refers to is kept until a snapshot without it is stored: after a
 * restart, the log since the latest snapshot is applied again, and its commands may read the file.
 */
import {
  closeSync,
  fdatasync,
  fstatSync,
  mkdirSync,
  openSync,
  readSync,
  rmSync,
  statSync,
  writeSync,
} from 'node:fs';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { ShedlineError } from '@shedline/errors';

const MAX_OPEN_FILES = 128;
const RECORD_HEADER_BYTES = 8;
/** Alignment of records, so that a 32-bit number can address 32 GiB. */
export const RECORD_ALIGNMENT_BYTES = 8;

/** Files in which a state machine stores payloads and results. */
export interface ItemFiles {
  /** Writes a record at an offset; returns the offset after it. */
  writeRecord(file: string, offset: number, body: Uint8Array): number;
  /** Reads the record at an offset; throws `corrupt_storage` if it is damaged. */
  readRecord(file: string, offset: number): Buffer;
  /** Returns the size of a file; 0 if it does not exist. */
  sizeBytes(file: string): number;
  /** Reads bytes for the transfer to another replica; fewer at the end of the file. */
  readRaw(file: string, offset: number, sizeBytes: number): Buffer;
  writeRaw(file: string, offset: number, bytes: Uint8Array): void;
  /** Resolves once everything written so far is on disk. */
  sync(): Promise<void>;
  /** Notes that the state no longer refers to a file; a later write takes that back. */
  release(file: string): void;
  /** Released files that still exist. */
  readonly released: readonly string[];
  /** Removes those of these files that are still released. */
  removeReleased(files: readonly string[]): void;
}

/** Returns the size of a record in its file, including header and padding. */
export function recordSizeBytes(bodyBytes: number): number {
  const size = RECORD_HEADER_BYTES + bodyBytes;
  return Math.ceil(size / RECORD_ALIGNMENT_BYTES) * RECORD_ALIGNMENT_BYTES;
}

/** Encodes a record: length, checksum, body, padding. */
export function encodeRecord(body: Uint8Array): Buffer {
  const record = Buffer.alloc(recordSizeBytes(body.length));
  record.writeUInt32LE(body.length, 0);
  record.writeUInt32LE(crc32(body), 4);
  record.set(body, RECORD_HEADER_BYTES);
  return record;
}

/** {@link ItemFiles} in a folder on disk. */
export class DiskItemFiles implements ItemFiles {
  private readonly folder: string;
  private readonly openDescriptors = new Map<string, number>();
  private readonly dirtyFiles = new Set<string>();
  private readonly releasedFiles = new Set<string>();

  constructor(folder: string) {
    this.folder = folder;
    mkdirSync(folder, { recursive: true });
  }

  writeRecord(file: string, offset: number, body: Uint8Array): number {
    const record = encodeRecord(body);
    this.writeRaw(file, offset, record);
    return offset + record.length;
  }

  readRecord(file: string, offset: number): Buffer {
    const header = this.readRaw(file, offset, RECORD_HEADER_BYTES);
    const bodyBytes = header.length < RECORD_HEADER_BYTES ? 0 : header.readUInt32LE(0);
    const body = this.readRaw(file, offset + RECORD_HEADER_BYTES, bodyBytes);
    const isComplete = body.length === bodyBytes && header.length === RECORD_HEADER_BYTES;
    if (!isComplete || crc32(body) !== header.readUInt32LE(4)) throw corruptRecord(file, offset);
    return body;
  }

  sizeBytes(file: string): number {
    return statSync(join(this.folder, file), { throwIfNoEntry: false })?.size ?? 0;
  }

  readRaw(file: string, offset: number, sizeBytes: number): Buffer {
    const descriptor = this.descriptor(file);
    const available = Math.max(0, Math.min(sizeBytes, fstatSync(descriptor).size - offset));
    const buffer = Buffer.allocUnsafe(available);
    const read = readSync(descriptor, buffer, 0, available, offset);
    return buffer.subarray(0, read);
  }

  writeRaw(file: string, offset: number, bytes: Uint8Array): void {
    const descriptor = this.descriptor(file);
    let written = 0;
    while (written < bytes.length) {
      written += writeSync(descriptor, bytes, written, bytes.length - written, offset + written);
    }
    this.dirtyFiles.add(file);
    this.releasedFiles.delete(file);
  }

  async sync(): Promise<void> {
    // Each file stays dirty until its own sync, so that a failure does not skip the files after it.
    for (const file of [...this.dirtyFiles]) {
      this.dirtyFiles.delete(file);
      await this.syncFile(file);
    }
  }

  release(file: string): void {
    this.releasedFiles.add(file);
  }

  get released(): readonly string[] {
    return [...this.releasedFiles];
  }

  removeReleased(files: readonly string[]): void {
    for (const file of files) {
      if (!this.releasedFiles.has(file)) continue;
      this.close(file);
      this.dirtyFiles.delete(file);
      rmSync(join(this.folder, file), { force: true });
      this.releasedFiles.delete(file);
    }
  }

  /** Closes all files. */
  closeAll(): void {
    for (const file of [...this.openDescriptors.keys()]) this.close(file);
  }

  private syncFile(file: string): Promise<void> {
    return new Promise((resolve, reject) => {
      fdatasync(this.descriptor(file), (error) => {
        const isRemoved = !this.openDescriptors.has(file);
        if (error === null || isRemoved) {
          resolve();
          return;
        }
        this.dirtyFiles.add(file);
        reject(error);
      });
    });
  }

  private descriptor(file: string): number {
    const known = this.openDescriptors.get(file);
    if (known !== undefined) return known;
    this.closeFileIfTooMany();
    const descriptor = openSync(join(this.folder, file), 'a+');
    // 'a+' only creates the file; positional writes need 'r+'.
    closeSync(descriptor);
    const writable = openSync(join(this.folder, file), 'r+');
    this.openDescriptors.set(file, writable);
    return writable;
  }

  /** Closes a file if too many are open. Dirty files keep their descriptor for the sync. */
  private closeFileIfTooMany(): void {
    if (this.openDescriptors.size < MAX_OPEN_FILES) return;
    for (const file of this.openDescriptors.keys()) {
      if (this.dirtyFiles.has(file)) continue;
      this.close(file);
      return;
    }
  }

  private close(file: string): void {
    const descriptor = this.openDescriptors.get(file);
    if (descriptor === undefined) return;
    this.openDescriptors.delete(file);
    closeSync(descriptor);
  }
}

/** {@link ItemFiles} in memory, for tests and benchmarks. */
export class MemoryItemFiles implements ItemFiles {
  private readonly files = new Map<string, { bytes: Buffer; sizeBytes: number }>();
  private readonly releasedFiles = new Set<string>();

  writeRecord(file: string, offset: number, body: Uint8Array): number {
    const record = encodeRecord(body);
    this.writeRaw(file, offset, record);
    return offset + record.length;
  }

  readRecord(file: string, offset: number): Buffer {
    const header = this.readRaw(file, offset, RECORD_HEADER_BYTES);
    if (header.length < RECORD_HEADER_BYTES) throw corruptRecord(file, offset);
    const body = this.readRaw(file, offset + RECORD_HEADER_BYTES, header.readUInt32LE(0));
    if (crc32(body) !== header.readUInt32LE(4)) throw corruptRecord(file, offset);
    return body;
  }

  sizeBytes(file: string): number {
    return this.files.get(file)?.sizeBytes ?? 0;
  }

  readRaw(file: string, offset: number, sizeBytes: number): Buffer {
    const content = this.files.get(file);
    if (content === undefined) return Buffer.alloc(0);
    return content.bytes.subarray(offset, Math.min(offset + sizeBytes, content.sizeBytes));
  }

  writeRaw(file: string, offset: number, bytes: Uint8Array): void {
    const content = this.files.get(file) ?? { bytes: Buffer.alloc(0), sizeBytes: 0 };
    this.files.set(file, content);
    const endOffset = offset + bytes.length;
    if (content.bytes.length < endOffset) {
      const larger = Buffer.alloc(endOffset * 2);
      content.bytes.copy(larger);
      content.bytes = larger;
    }
    content.bytes.set(bytes, offset);
    content.sizeBytes = Math.max(content.sizeBytes, endOffset);
    this.releasedFiles.delete(file);
  }

  async sync(): Promise<void> {
    await Promise.resolve();
  }

  release(file: string): void {
    this.releasedFiles.add(file);
  }

  get released(): readonly string[] {
    return [...this.releasedFiles];
  }

  removeReleased(files: readonly string[]): void {
    for (const file of files) if (this.releasedFiles.delete(file)) this.files.delete(file);
  }
}

function corruptRecord(file: string, offset: number): ShedlineError {
  return new ShedlineError({
    type: 'corrupt_storage',
    message:
      `${file} at offset ${offset}: the record does not match its checksum. ` +
      'Move the data folder aside and start empty to copy it from the peers.',
    step: 'read item',
    peer: file,
  });
}
