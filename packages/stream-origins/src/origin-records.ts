/**
 * Records of what began streams, held for a limited time by entries and control processes.
 */
import type { OriginRecord, StreamOrigin } from './messages.js';

/** About 200 bytes each. */
const DEFAULT_MAX_RECORDS = 50_000;

interface HeldOrigin {
  readonly origin: StreamOrigin;
  readonly writer: string;
  readonly begunAtMs: number;
  readonly keepMs: number;
}

/** Options of {@link OriginRecords}. */
export interface OriginRecordsOptions {
  /** Number of records above which the oldest are removed. */
  readonly maxRecords?: number;
}

/** Origins of streams that may still be continued, by key. */
export class OriginRecords {
  private readonly maxRecords: number;
  private readonly held = new Map<string, HeldOrigin>();
  /** Keys in the order in which they were recorded, from `oldest` on; some may have been removed. */
  private order: string[] = [];
  private oldest = 0;

  constructor({ maxRecords = DEFAULT_MAX_RECORDS }: OriginRecordsOptions = {}) {
    this.maxRecords = maxRecords;
  }

  /** Number of records. */
  get size(): number {
    return this.held.size;
  }

  /** Records a stream whose first event was `ageMs` ago, unless it is recorded already. */
  record(record: OriginRecord, nowMs: number): void {
    const { key, service, softwareVersion, writer, ageMs, keepMs } = record;
    if (this.held.has(key)) return;
    const origin = { service, softwareVersion };
    this.held.set(key, { origin, writer, begunAtMs: nowMs - ageMs, keepMs });
    this.order.push(key);
    this.removeOldest(nowMs);
  }

  /** Returns the origin of a stream; undefined if it is not recorded. */
  find(key: string, nowMs: number): StreamOrigin | undefined {
    const known = this.held.get(key);
    return known === undefined || isExpired(known, nowMs) ? undefined : known.origin;
  }

  /** Returns which endpoint began a stream, and when; undefined if it is not recorded. */
  writerOf(key: string): { readonly writer: string; readonly begunAtMs: number } | undefined {
    return this.held.get(key);
  }

  /** Returns the records of these services, to be sent to another process. */
  ofServices(services: ReadonlySet<string>, nowMs: number): OriginRecord[] {
    return [...this.held]
      .filter(([, held]) => services.has(held.origin.service) && !isExpired(held, nowMs))
      .map(([key, { origin, writer, begunAtMs, keepMs }]) => ({
        key,
        ...origin,
        writer,
        ageMs: nowMs - begunAtMs,
        keepMs,
      }));
  }

  /** Removes the streams that one writer began after `sinceMs`; returns their keys. */
  removeBegunAt(writer: string, sinceMs: number): string[] {
    const keys = [...this.held]
      .filter(([, held]) => held.writer === writer && held.begunAtMs > sinceMs)
      .map(([key]) => key);
    this.remove(keys);
    return keys;
  }

  /** Removes records. */
  remove(keys: readonly string[]): void {
    for (const key of keys) this.held.delete(key);
  }

  private removeOldest(nowMs: number): void {
    for (; this.oldest < this.order.length; this.oldest += 1) {
      const key = this.order[this.oldest] ?? '';
      const held = this.held.get(key);
      if (held === undefined) continue;
      if (this.held.size <= this.maxRecords && !isExpired(held, nowMs)) break;
      this.held.delete(key);
    }
    if (this.oldest * 2 < this.order.length) return;
    this.order = this.order.slice(this.oldest);
    this.oldest = 0;
  }
}

function isExpired({ begunAtMs, keepMs }: HeldOrigin, nowMs: number): boolean {
  return nowMs - begunAtMs > keepMs;
}
