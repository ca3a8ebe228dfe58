/**
 * Short form of heartbeats. Nearly all heartbeats repeat what the previous one of their endpoint said,
 * so a reader that knows the description of an endpoint needs only its fingerprint.
 */
import { sha256Hex } from '@shedline/types';
import type { AgedHeartbeat, EndpointHeartbeat } from './endpoint-registry.js';

/** 48 bits: an exact integer, and collisions are negligible among 100,000 endpoints. */
const FINGERPRINT_HEX_DIGITS = 12;
/** Time for which an unused description is kept; longer than a round over all control processes. */
const KEEP_UNUSED_MS = 60_000;

/**
 * Fingerprint of the description, sequence number, age in whole milliseconds, and the remaining
 * warm-up time unless it is 0.
 */
export type HeartbeatDigest = readonly [
  fingerprint: number,
  sequence: number,
  ageMs: number,
  warmUpLeftMs?: number,
];

/** Returns the fingerprint of the description in a heartbeat. */
export function fingerprintOf(heartbeat: EndpointHeartbeat): number {
  const text = JSON.stringify(descriptionOf(heartbeat));
  return parseInt(sha256Hex(text).slice(0, FINGERPRINT_HEX_DIGITS), 16);
}

/** Whether the descriptions in two heartbeats are the same. */
export function hasSameDescription(a: EndpointHeartbeat, b: EndpointHeartbeat): boolean {
  const values = descriptionOf(a);
  const others = descriptionOf(b);
  return values.length === others.length && values.every((value, index) => value === others[index]);
}

/**
 * Returns all that a heartbeat says except what changes from one to the next: the sequence number
 * and the remaining warm-up time. After a start of the fleet all endpoints warm up at once.
 */
function descriptionOf(heartbeat: EndpointHeartbeat): readonly (string | number)[] {
  const { endpointId, startedAtMs, service, address, availabilityZone, slots } = heartbeat;
  const { softwareVersion } = heartbeat;
  const description = [endpointId, startedAtMs, service, address, availabilityZone, slots];
  // Without a version the fingerprint is that of earlier versions of shedline.
  return softwareVersion === undefined ? description : [...description, softwareVersion];
}

/** The heartbeats that digests stand for, and the fingerprints without a known description. */
export interface ResolvedDigests {
  readonly heartbeats: readonly AgedHeartbeat[];
  readonly unknownFingerprints: readonly number[];
}

interface KnownDescription {
  readonly heartbeat: EndpointHeartbeat;
  usedAtMs: number;
}

/** Descriptions of endpoints that a reader has received, by fingerprint. */
export class KnownDescriptions {
  private readonly known = new Map<number, KnownDescription>();
  private readonly fingerprints = new Map<string, number>();

  /** Whether no description is known. */
  get isEmpty(): boolean {
    return this.known.size === 0;
  }

  /** Keeps the descriptions in whole heartbeats. */
  learn(heartbeats: readonly AgedHeartbeat[], nowMs: number): void {
    for (const { heartbeat } of heartbeats) {
      const fingerprint = this.knownFingerprintOf(heartbeat) ?? fingerprintOf(heartbeat);
      this.fingerprints.set(heartbeat.endpointId, fingerprint);
      this.known.set(fingerprint, { heartbeat, usedAtMs: nowMs });
    }
  }

  /** Returns the heartbeats that digests stand for. */
  resolve(digests: readonly HeartbeatDigest[], nowMs: number): ResolvedDigests {
    const heartbeats: AgedHeartbeat[] = [];
    const unknownFingerprints: number[] = [];
    for (const [fingerprint, sequence, ageMs, warmUpLeftMs = 0] of digests) {
      const description = this.known.get(fingerprint);
      if (description === undefined) {
        unknownFingerprints.push(fingerprint);
        continue;
      }
      description.usedAtMs = nowMs;
      heartbeats.push({
        heartbeat: { ...description.heartbeat, sequence, warmUpLeftMs },
        ageMs,
      });
    }
    return { heartbeats, unknownFingerprints };
  }

  /** Removes descriptions that were not used for a while, as of endpoints that no longer exist. */
  forgetUnused(nowMs: number): void {
    for (const [fingerprint, { heartbeat, usedAtMs }] of this.known) {
      if (nowMs - usedAtMs <= KEEP_UNUSED_MS) continue;
      this.known.delete(fingerprint);
      if (this.fingerprints.get(heartbeat.endpointId) === fingerprint) {
        this.fingerprints.delete(heartbeat.endpointId);
      }
    }
  }

  private knownFingerprintOf(heartbeat: EndpointHeartbeat): number | undefined {
    const fingerprint = this.fingerprints.get(heartbeat.endpointId);
    if (fingerprint === undefined) return undefined;
    const description = this.known.get(fingerprint);
    if (description === undefined) return undefined;
    return hasSameDescription(description.heartbeat, heartbeat) ? fingerprint : undefined;
  }
}
