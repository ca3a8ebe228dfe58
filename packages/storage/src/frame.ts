/**
 * Encodes and decodes frames, the units of the write-ahead log and of snapshot files.
 *
 * Layout, little endian: magic (4 bytes), sequence (8), body length (4), checksum of the
 * header so far (4), checksum of the body (4), body.
 */
import { crc32 } from 'node:zlib';

/** Size of the header of a frame. */
export const FRAME_HEADER_BYTES = 24;
const MAGIC = Buffer.from('SLf1');
const SEQUENCE_OFFSET = 4;
const LENGTH_OFFSET = 12;
const HEADER_CHECKSUM_OFFSET = 16;
const BODY_CHECKSUM_OFFSET = 20;

/** Decoded frame. */
export interface Frame {
  readonly sequence: number;
  readonly body: Buffer;
  /** Offset of the first byte after the frame. */
  readonly endOffset: number;
}

/** Encodes a frame. */
export function encodeFrame(sequence: number, body: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  MAGIC.copy(frame, 0);
  frame.writeBigUInt64LE(BigInt(sequence), SEQUENCE_OFFSET);
  frame.writeUInt32LE(body.length, LENGTH_OFFSET);
  frame.writeUInt32LE(crc32(frame.subarray(0, HEADER_CHECKSUM_OFFSET)), HEADER_CHECKSUM_OFFSET);
  frame.writeUInt32LE(crc32(body), BODY_CHECKSUM_OFFSET);
  frame.set(body, FRAME_HEADER_BYTES);
  return frame;
}

/** Decodes the frame at an offset; returns undefined unless it is complete and valid. */
export function decodeFrame(buffer: Buffer, offset: number): Frame | undefined {
  const header = buffer.subarray(offset, offset + FRAME_HEADER_BYTES);
  if (header.length < FRAME_HEADER_BYTES) return undefined;
  if (!header.subarray(0, MAGIC.length).equals(MAGIC)) return undefined;
  const headerChecksum = crc32(header.subarray(0, HEADER_CHECKSUM_OFFSET));
  if (headerChecksum !== header.readUInt32LE(HEADER_CHECKSUM_OFFSET)) return undefined;
  const bodyStart = offset + FRAME_HEADER_BYTES;
  const body = buffer.subarray(bodyStart, bodyStart + header.readUInt32LE(LENGTH_OFFSET));
  if (body.length < header.readUInt32LE(LENGTH_OFFSET)) return undefined;
  if (crc32(body) !== header.readUInt32LE(BODY_CHECKSUM_OFFSET)) return undefined;
  const sequence = Number(header.readBigUInt64LE(SEQUENCE_OFFSET));
  return { sequence, body, endOffset: bodyStart + body.length };
}

/**
 * Returns whether a valid frame begins after an offset. If so, invalid bytes at the offset are
 * damage and not the torn tail of an interrupted write.
 */
export function hasFrameAfter(buffer: Buffer, offset: number): boolean {
  let position = buffer.indexOf(MAGIC, offset + 1);
  while (position !== -1) {
    if (decodeFrame(buffer, position) !== undefined) return true;
    position = buffer.indexOf(MAGIC, position + 1);
  }
  return false;
}
