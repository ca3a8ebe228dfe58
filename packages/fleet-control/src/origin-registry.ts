/**
 * What a control process knows of the software versions that began streams: copies of the records of
 * entries, and the versions whose endpoints it has heard of.
 */
import { runIdOf, runOf } from '@shedline/fleet';
import type { EndpointHeartbeat, EndpointRegistry } from '@shedline/fleet';
import { OriginRecords, STREAM_KEEP_MS, SeenVersions } from '@shedline/stream-origins';
import type { OriginRecord, OriginReply, OriginRequest } from '@shedline/stream-origins';

/** Options of {@link OriginRegistry}. */
export interface OriginRegistryOptions {
  /** The heartbeats known to this process. */
  readonly endpoints: Pick<EndpointRegistry, 'latestOf'>;
  readonly nowMs: () => number;
}

/** The records and versions of one control process. */
export class OriginRegistry {
  private readonly endpoints: OriginRegistryOptions['endpoints'];
  private readonly nowMs: () => number;
  private readonly records = new OriginRecords();
  private readonly seenVersions = new SeenVersions();
  private coversFromMs: number;

  constructor({ endpoints, nowMs }: OriginRegistryOptions) {
    this.endpoints = endpoints;
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

  /**
   * Notes the version of an endpoint that served `ageMs` ago; call this before the heartbeat is registered.
   * If its endpoint restarted as another version, the new incarnation may have written what the previous one
   * seemed to write since it was last heard of.
   */
  observe(heartbeat: EndpointHeartbeat, ageMs: number): void {
    const { service, softwareVersion = '' } = heartbeat;
    const nowMs = this.nowMs();
    this.seenVersions.observe({ service, softwareVersion }, ageMs, nowMs);
    const known = this.endpoints.latestOf(heartbeat.endpointId, nowMs);
    if (known === undefined || known.heartbeat.startedAtMs >= heartbeat.startedAtMs) return;
    if ((known.heartbeat.softwareVersion ?? '') === softwareVersion) return;
    this.records.removeBegunAt(runIdOf(known.heartbeat), nowMs - known.ageMs);
  }

  /** Stores records of an entry, but those of writers that have restarted as another version. */
  record(records: readonly OriginRecord[]): void {
    for (const record of records) {
      if (!this.isReplaced(record)) this.records.record(record, this.nowMs());
    }
  }

  private isReplaced({ writer, softwareVersion }: OriginRecord): boolean {
    const { endpointId, startedAtMs } = runOf(writer);
    const latest = this.endpoints.latestOf(endpointId, this.nowMs())?.heartbeat;
    if (latest === undefined || latest.startedAtMs <= startedAtMs) return false;
    return (latest.softwareVersion ?? '') !== softwareVersion;
  }

  /** Removes records whose origin is in doubt. */
  remove(keys: readonly string[]): void {
    this.records.remove(keys);
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
