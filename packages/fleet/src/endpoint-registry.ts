/**
 * The latest heartbeats that a control process received from endpoints, numbered so that a reader
 * requests only the changes since its last read.
 */
import type { EndpointRun } from './endpoint-run.js';

/** A heartbeat as an endpoint sends it. */
export interface EndpointHeartbeat extends EndpointRun {
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Requests that the endpoint executes concurrently. */
  readonly slots: number;
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

/** The heartbeats that changed after a cursor. */
export interface RegistryDelta {
  /** Identifies the registry; a cursor is valid only for the registry that returned it. */
  readonly epoch: string;
  readonly cursor: number;
  readonly heartbeats: readonly AgedHeartbeat[];
}

/** Time without a heartbeat after which an endpoint is removed. */
const EXPIRE_AFTER_MS = 30_000;

interface ReceivedHeartbeat {
  readonly heartbeat: EndpointHeartbeat;
  readonly receivedAtMs: number;
  readonly changeNumber: number;
}

/** Holds the latest heartbeat of the latest incarnation of each endpoint. */
export class EndpointRegistry {
  private readonly epoch: string;
  private readonly latest = new Map<string, ReceivedHeartbeat>();
  private counter = 0;

  constructor(epoch: string) {
    this.epoch = epoch;
  }

  /** Returns the latest incarnation of an endpoint; undefined if it has expired or is unknown. */
  runOf(endpointId: string): EndpointRun | undefined {
    return this.latest.get(endpointId)?.heartbeat;
  }

  /**
   * Records a heartbeat that was sent `ageMs` ago. Returns false if a newer heartbeat or a later
   * incarnation is known.
   */
  record(heartbeat: EndpointHeartbeat, ageMs: number, nowMs: number): boolean {
    const known = this.latest.get(heartbeat.endpointId);
    if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) return false;
    this.counter += 1;
    const receivedAtMs = nowMs - ageMs;
    this.latest.set(heartbeat.endpointId, {
      heartbeat,
      receivedAtMs,
      changeNumber: this.counter,
    });
    return true;
  }

  /** Returns the heartbeats after a cursor of the same epoch, or all if the epoch differs. */
  since(epoch: string, cursor: number, nowMs: number): RegistryDelta {
    const from = epoch === this.epoch ? cursor : 0;
    const heartbeats: AgedHeartbeat[] = [];
    for (const { heartbeat, receivedAtMs, changeNumber } of this.latest.values()) {
      if (changeNumber > from) heartbeats.push({ heartbeat, ageMs: nowMs - receivedAtMs });
    }
    return { epoch: this.epoch, cursor: this.counter, heartbeats };
  }

  /** Removes endpoints without a recent heartbeat. */
  forgetExpired(nowMs: number): void {
    for (const [endpointId, { receivedAtMs }] of this.latest) {
      if (nowMs - receivedAtMs > EXPIRE_AFTER_MS) this.latest.delete(endpointId);
    }
  }
}

/** Sequences restart with each incarnation, so only those of one incarnation are compared. */
function isNewer(heartbeat: EndpointHeartbeat, known: EndpointHeartbeat): boolean {
  if (heartbeat.startedAtMs !== known.startedAtMs) return heartbeat.startedAtMs > known.startedAtMs;
  return heartbeat.sequence > known.sequence;
}
