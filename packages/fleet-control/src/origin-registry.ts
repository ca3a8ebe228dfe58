/**
 * What a control process knows of the software versions that began streams: copies of the records of
 * entries, and the versions whose endpoints it has heard of.
 */
import type { EndpointHeartbeat } from '@shedline/fleet';
import { OriginRecords, STREAM_KEEP_MS, SeenVersions } from '@shedline/stream-origins';
import type { OriginRecord, OriginReply, OriginRequest } from '@shedline/stream-origins';

/** Options of {@link OriginRegistry}. */
export interface OriginRegistryOptions {
  readonly nowMs: () => number;
}

/** The records and versions of one control process. */
export class OriginRegistry {
  private readonly nowMs: () => number;
  private readonly records = new OriginRecords();
  private readonly seenVersions = new SeenVersions();
  private coversFromMs: number;

  constructor({ nowMs }: OriginRegistryOptions) {
    this.nowMs = nowMs;
    this.coversFromMs = nowMs() + STREAM_KEEP_MS;
  }

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /** Notes that the versions before the start of this process are known, or that there were none. */
  markEarlierVersionsKnown(): void {
    this.coversFromMs = this.nowMs();
  }

  /** Notes the version of an endpoint that served `ageMs` ago. */
  observe({ service, softwareVersion = '' }: EndpointHeartbeat, ageMs: number): void {
    this.seenVersions.observe({ service, softwareVersion }, ageMs, this.nowMs());
  }

  /** Stores records of an entry. */
  record(records: readonly OriginRecord[]): void {
    for (const record of records) this.records.record(record, this.nowMs());
  }

  /** Returns what this process knows of the origin of a stream. */
  reply({ key, services }: OriginRequest): OriginReply {
    const nowMs = this.nowMs();
    const origin = this.records.find(key, nowMs);
    return {
      ...(origin === undefined ? {} : { origin }),
      versions: this.seenVersions.of(services, nowMs),
      coversKeepTime: nowMs >= this.coversFromMs,
    };
  }
}
