/**
 * The latest heartbeats that a control process received from endpoints, numbered so that a reader
 * requests only the changes since its last read.
 */
import type { EndpointRun } from './endpoint-run.js';
import { fingerprintOf, hasSameDescription } from './heartbeat-digest.js';
import type { HeartbeatDigest } from './heartbeat-digest.js';

/** A heartbeat as an endpoint sends it. */
export interface EndpointHeartbeat extends EndpointRun {
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Requests that the endpoint executes concurrently. */
  readonly slots: number;
  /**
   * Version of its software, the same for the whole incarnation; undefined if the endpoint states none
   * or the heartbeat was relayed by an earlier version of shedline.
   */
  readonly softwareVersion?: string;
  /** Remaining warm-up time after the start, during which the endpoint is slow. */
  readonly warmUpLeftMs: number;
  /** Increases with each heartbeat of an incarnation, so that stale heartbeats are recognised. */
  readonly sequence: number;
}

/** A heartbeat and its age. */
export interface AgedHeartbeat {
  readonly heartbeat: EndpointHeartbeat;
  readonly ageMs: number;
}

/** Position of a reader in the changes of a registry. */
export interface RegistryCursor {
  /** Identifies the registry; a cursor is valid only for the registry that returned it. */
  readonly epoch: string;
  readonly cursor: number;
}

/** A page of the heartbeats that changed after a cursor. */
export interface RegistryDelta extends RegistryCursor {
  readonly heartbeats: readonly AgedHeartbeat[];
  /** Whether further heartbeats follow the new cursor; omitted by earlier versions. */
  readonly hasMore?: boolean;
}

/** A page of the digests of the heartbeats that changed after a cursor. */
export interface DigestDelta extends RegistryCursor {
  readonly digests: readonly HeartbeatDigest[];
  readonly hasMore: boolean;
}

/** Time without a heartbeat after which an endpoint is removed. */
const EXPIRE_AFTER_MS = 30_000;

interface ReceivedHeartbeat {
  readonly heartbeat: EndpointHeartbeat;
  readonly receivedAtMs: number;
  readonly changeNumber: number;
  readonly fingerprint: number;
}

/** Holds the latest heartbeat of the latest incarnation of each endpoint. */
export class EndpointRegistry {
  private readonly epoch: string;
  /** In the order of their change numbers. */
  private readonly latest = new Map<string, ReceivedHeartbeat>();
  private counter = 0;

  constructor(epoch: string) {
    this.epoch = epoch;
  }

  /** Returns the latest incarnation of an endpoint; undefined if it has expired or is unknown. */
  runOf(endpointId: string): EndpointRun | undefined {
    return this.latest.get(endpointId)?.heartbeat;
  }

  /** Returns the latest heartbeat of an endpoint; undefined if it has expired or is unknown. */
  latestOf(endpointId: string, nowMs: number): AgedHeartbeat | undefined {
    const received = this.latest.get(endpointId);
    return received === undefined ? undefined : agedHeartbeatOf(received, nowMs);
  }

  /**
   * Records a heartbeat that was sent `ageMs` ago. Returns false if a newer heartbeat or a later
   * incarnation is known.
   */
  record(heartbeat: EndpointHeartbeat, ageMs: number, nowMs: number): boolean {
    const known = this.latest.get(heartbeat.endpointId);
    if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) return false;
    this.counter += 1;
    const fingerprint =
      known !== undefined && hasSameDescription(known.heartbeat, heartbeat)
        ? known.fingerprint
        : fingerprintOf(heartbeat);
    this.latest.delete(heartbeat.endpointId);
    this.latest.set(heartbeat.endpointId, {
      heartbeat,
      receivedAtMs: nowMs - ageMs,
      changeNumber: this.counter,
      fingerprint,
    });
    return true;
  }

  /**
   * Returns at most `maxCount` heartbeats after a cursor of the same epoch, or of all if the epoch
   * differs.
   */
  since(epoch: string, cursor: number, nowMs: number, maxCount = Infinity): RegistryDelta {
    const { changes, ...position } = this.changesSince({ epoch, cursor }, maxCount);
    return { ...position, heartbeats: changes.map((change) => agedHeartbeatOf(change, nowMs)) };
  }

  /** Like {@link since}, with the digests of the heartbeats. */
  digestsSince(reader: RegistryCursor, nowMs: number, maxCount: number): DigestDelta {
    const { changes, ...position } = this.changesSince(reader, maxCount);
    const digests = changes.map(({ fingerprint, heartbeat, receivedAtMs }): HeartbeatDigest => {
      const { sequence, warmUpLeftMs } = heartbeat;
      const ageMs = Math.round(nowMs - receivedAtMs);
      return warmUpLeftMs === 0
        ? [fingerprint, sequence, ageMs]
        : [fingerprint, sequence, ageMs, warmUpLeftMs];
    });
    return { ...position, digests };
  }

  /** Returns the heartbeats whose descriptions have these fingerprints. */
  withFingerprints(fingerprints: readonly number[], nowMs: number): AgedHeartbeat[] {
    const wanted = new Set(fingerprints);
    return [...this.latest.values()]
      .filter(({ fingerprint }) => wanted.has(fingerprint))
      .map((received) => agedHeartbeatOf(received, nowMs));
  }

  private changesSince(
    { epoch, cursor }: RegistryCursor,
    maxCount: number,
  ): RegistryCursor & { readonly changes: ReceivedHeartbeat[]; readonly hasMore: boolean } {
    const from = epoch === this.epoch ? cursor : 0;
    const changes: ReceivedHeartbeat[] = [];
    for (const received of this.latest.values()) {
      if (received.changeNumber <= from) continue;
      const last = changes.at(-1);
      if (changes.length >= maxCount && last !== undefined) {
        return { epoch: this.epoch, cursor: last.changeNumber, changes, hasMore: true };
      }
      changes.push(received);
    }
    return { epoch: this.epoch, cursor: this.counter, changes, hasMore: false };
  }

  /** Removes endpoints without a recent heartbeat. */
  forgetExpired(nowMs: number): void {
    for (const [endpointId, { receivedAtMs }] of this.latest) {
      if (nowMs - receivedAtMs > EXPIRE_AFTER_MS) this.latest.delete(endpointId);
    }
  }
}

function agedHeartbeatOf(received: ReceivedHeartbeat, nowMs: number): AgedHeartbeat {
  return { heartbeat: received.heartbeat, ageMs: nowMs - received.receivedAtMs };
}

/** Sequences restart with each incarnation, so only those of one incarnation are compared. */
function isNewer(heartbeat: EndpointHeartbeat, known: EndpointHeartbeat): boolean {
  if (heartbeat.startedAtMs !== known.startedAtMs) return heartbeat.startedAtMs > known.startedAtMs;
  return heartbeat.sequence > known.sequence;
}
