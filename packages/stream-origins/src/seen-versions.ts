/**
 * Remembers which software versions of each service have served lately. A stream without a record can
 * only have begun at one of them.
 */
import { STREAM_KEEP_MS } from './messages.js';
import type { StreamOrigin } from './messages.js';

/** The software versions that served within {@link STREAM_KEEP_MS}, by service. */
export class SeenVersions {
  private readonly lastSeenAtMs = new Map<string, Map<string, number>>();

  /**
   * Notes that an endpoint of a version served `ageMs` ago; returns whether it is the first of its
   * version within the time, beside others.
   */
  observe({ service, softwareVersion }: StreamOrigin, ageMs: number, nowMs: number): boolean {
    const versions = this.lastSeenAtMs.get(service) ?? new Map<string, number>();
    this.lastSeenAtMs.set(service, versions);
    const isNew = isOver(versions.get(softwareVersion), nowMs);
    const seenAtMs = Math.max(versions.get(softwareVersion) ?? -Infinity, nowMs - ageMs);
    versions.set(softwareVersion, seenAtMs);
    return isNew && this.hasSeveral(service, nowMs);
  }

  /** Whether several versions of a service have served. */
  hasSeveral(service: string, nowMs: number): boolean {
    return this.of([service], nowMs).length > 1;
  }

  /** Services of which several versions have served. */
  servicesWithSeveral(nowMs: number): Set<string> {
    const services = [...this.lastSeenAtMs.keys()];
    return new Set(services.filter((service) => this.hasSeveral(service, nowMs)));
  }

  /** Returns all versions of some services. */
  of(services: readonly string[], nowMs: number): StreamOrigin[] {
    return services.flatMap((service) =>
      [...(this.lastSeenAtMs.get(service) ?? [])]
        .filter(([, seenAtMs]) => !isOver(seenAtMs, nowMs))
        .map(([softwareVersion]) => ({ service, softwareVersion })),
    );
  }
}

function isOver(seenAtMs: number | undefined, nowMs: number): boolean {
  return seenAtMs === undefined || nowMs - seenAtMs > STREAM_KEEP_MS;
}
