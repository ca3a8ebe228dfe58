/**
 * Append-only files that hold the payloads and results of jobs.
 *
 * Every replica of a group applies the same log, so the files of all replicas hold the same
 * bytes at the same offsets. The state machine alone knows how long a file is: bytes behind
 * that length are leftovers of a crash and are overwritten.
 */
import {
  closeSync,
  fdatasync,
  fstatSync,
  mkdirSync,
  openSync,
  readSync,
  rmSync,
  writeSync,
} from 'node:fs';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { ShedlineError } from '@shedline/errors';

const MAX_OPEN_FILES = 128;
const RECORD_HEADER_BYTES = 8;
/** Records begin at multiples of this, so that a 32-bit number can address 32 GiB. */
export const RECORD_ALIGNMENT_BYTES = 8;

/** Where the state machine keeps item bytes. */
export interface ItemFiles {
  /** Writes a record at an offset; gives the offset behind it. */
  writeRecord(file: string, offset: number, body: Uint8Array): number;
  /** Reads the record at an offset. */
  readRecord(file: string, offset: number): Buffer;
  /** Raw bytes, for a transfer to another replica. */
  readRaw(file: string, offset: number, sizeBytes: number): Buffer;
  writeRaw(file: string, offset: number, bytes: Uint8Array): void;
  /** Returns once everything written so far is on the disk. */
  sync(): Promise<void>;
  remove(file: string): void;
}

/** Bytes that a record takes in its file. */
export function recordSizeBytes(bodyBytes: number): number {
  const size = RECORD_HEADER_BYTES + bodyBytes;
  return Math.ceil(size / RECORD_ALIGNMENT_BYTES) * RECORD_ALIGNMENT_BYTES;
}

/** A record as bytes: length, checksum, body, padding. */
export function encodeRecord(body: Uint8Array): Buffer {
  const record = Buffer.alloc(recordSizeBytes(body.length));
  record.writeUInt32LE(body.length, 0);
  record.writeUInt32LE(crc32(body), 4);
  record.set(body, RECORD_HEADER_BYTES);
  return record;
}

/** {@link ItemFiles} in a folder on the disk. */
export class DiskItemFiles implements ItemFiles {
  private readonly folder: string;
  private readonly open = new Map<string, number>();
  private readonly dirty = new Set<string>();

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
    const sound = body.length === bodyBytes && header.length === RECORD_HEADER_BYTES;
    if (!sound || crc32(body) !== header.readUInt32LE(4)) throw damaged(file, offset);
    return body;
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
    this.dirty.add(file);
  }

  async sync(): Promise<void> {
    // Each file stays dirty until its own sync: a failure must not hide the files behind it.
    for (const file of [...this.dirty]) {
      this.dirty.delete(file);
      await this.syncFile(file);
    }
  }

  remove(file: string): void {
    this.close(file);
    this.dirty.delete(file);
    rmSync(join(this.folder, file), { force: true });
  }

  /** Closes all files. */
  closeAll(): void {
    for (const file of [...this.open.keys()]) this.close(file);
  }

  private syncFile(file: string): Promise<void> {
    return new Promise((resolve, reject) => {
      fdatasync(this.descriptor(file), (error) => {
        const removed = !this.open.has(file);
        if (error === null || removed) {
          resolve();
          return;
        }
        this.dirty.add(file);
        reject(error);
      });
    });
  }

  private descriptor(file: string): number {
    const known = this.open.get(file);
    if (known !== undefined) return known;
    this.closeSomeFile();
    const descriptor = openSync(join(this.folder, file), 'a+');
    // 'a+' only creates the file; positional writes need 'r+'.
    closeSync(descriptor);
    const usable = openSync(join(this.folder, file), 'r+');
    this.open.set(file, usable);
    return usable;
  }

  /** Only clean files are closed: a dirty one must keep its descriptor for the sync. */
  private closeSomeFile(): void {
    if (this.open.size < MAX_OPEN_FILES) return;
    for (const file of this.open.keys()) {
      if (this.dirty.has(file)) continue;
      this.close(file);
      return;
    }
  }

  private close(file: string): void {
    const descriptor = this.open.get(file);
    if (descriptor === undefined) return;
    this.open.delete(file);
    closeSync(descriptor);
  }
}

/** {@link ItemFiles} in memory, for tests and benchmarks. */
export class MemoryItemFiles implements ItemFiles {
  private readonly files = new Map<string, { bytes: Buffer; sizeBytes: number }>();

  writeRecord(file: string, offset: number, body: Uint8Array): number {
    const record = encodeRecord(body);
    this.writeRaw(file, offset, record);
    return offset + record.length;
  }

  readRecord(file: string, offset: number): Buffer {
    const header = this.readRaw(file, offset, RECORD_HEADER_BYTES);
    if (header.length < RECORD_HEADER_BYTES) throw damaged(file, offset);
    const body = this.readRaw(file, offset + RECORD_HEADER_BYTES, header.readUInt32LE(0));
    if (crc32(body) !== header.readUInt32LE(4)) throw damaged(file, offset);
    return body;
  }

  readRaw(file: string, offset: number, sizeBytes: number): Buffer {
    const whole = this.files.get(file);
    if (whole === undefined) return Buffer.alloc(0);
    return whole.bytes.subarray(offset, Math.min(offset + sizeBytes, whole.sizeBytes));
  }

  writeRaw(file: string, offset: number, bytes: Uint8Array): void {
    const whole = this.files.get(file) ?? { bytes: Buffer.alloc(0), sizeBytes: 0 };
    this.files.set(file, whole);
    const endOffset = offset + bytes.length;
    if (whole.bytes.length < endOffset) {
      const larger = Buffer.alloc(endOffset * 2);
      whole.bytes.copy(larger);
      whole.bytes = larger;
    }
    whole.bytes.set(bytes, offset);
    whole.sizeBytes = Math.max(whole.sizeBytes, endOffset);
  }

  async sync(): Promise<void> {
    await Promise.resolve();
  }

  remove(file: string): void {
    this.files.delete(file);
  }
}

function damaged(file: string, offset: number): ShedlineError {
  return new ShedlineError({
    type: 'corrupt_storage',
    message:
      `${file} at offset ${offset}: the record does not match its checksum. ` +
      'Move the data folder aside and start empty to copy it from the peers.',
    step: 'read item',
    peer: file,
  });
}
