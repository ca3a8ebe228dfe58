/**
 * The heartbeats of endpoints as a control process heard them, numbered so that a reader asks
 * only for what changed since its last look.
 */
import type { EndpointRun } from './endpoint-run.js';

/** One heartbeat of an endpoint. */
export interface EndpointHeartbeat extends EndpointRun {
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** How much longer the endpoint stays slow after its start. */
  readonly warmUpLeftMs: number;
  /** Grows with each heartbeat of a run, so that a late one can be told. */
  readonly sequence: number;
}

/** A heartbeat and how old it is. */
export interface AgedHeartbeat {
  readonly heartbeat: EndpointHeartbeat;
  readonly ageMs: number;
}

/** Heartbeats since a cursor. */
export interface RegistryDelta {
  /** Names the register; cursors of another one mean nothing. */
  readonly epoch: string;
  readonly cursor: number;
  readonly heartbeats: readonly AgedHeartbeat[];
}

/** Silence after which an endpoint is forgotten. */
const FORGET_AFTER_MS = 30_000;

interface Heard {
  readonly heartbeat: EndpointHeartbeat;
  readonly heardAtMs: number;
  readonly number: number;
}

/** Latest heartbeat of the latest run of each endpoint. */
export class EndpointRegistry {
  private readonly epoch: string;
  private readonly heard = new Map<string, Heard>();
  private counter = 0;

  constructor(epoch: string) {
    this.epoch = epoch;
  }

  /** The latest run of an endpoint; undefined where none was heard of lately. */
  runOf(endpointId: string): EndpointRun | undefined {
    return this.heard.get(endpointId)?.heartbeat;
  }

  /** Takes a heartbeat made `ageMs` ago; false where a newer one, or a later run, is known. */
  hear(heartbeat: EndpointHeartbeat, ageMs: number, nowMs: number): boolean {
    const known = this.heard.get(heartbeat.endpointId);
    if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) return false;
    this.counter += 1;
    const heardAtMs = nowMs - ageMs;
    this.heard.set(heartbeat.endpointId, { heartbeat, heardAtMs, number: this.counter });
    return true;
  }

  /** Heartbeats after a cursor of the same epoch; all where the epoch differs. */
  since(epoch: string, cursor: number, nowMs: number): RegistryDelta {
    const from = epoch === this.epoch ? cursor : 0;
    const heartbeats: AgedHeartbeat[] = [];
    for (const { heartbeat, heardAtMs, number } of this.heard.values()) {
      if (number > from) heartbeats.push({ heartbeat, ageMs: nowMs - heardAtMs });
    }
    return { epoch: this.epoch, cursor: this.counter, heartbeats };
  }

  /** Drops endpoints that have long been silent. */
  forgetSilent(nowMs: number): void {
    for (const [endpointId, { heardAtMs }] of this.heard) {
      if (nowMs - heardAtMs > FORGET_AFTER_MS) this.heard.delete(endpointId);
    }
  }
}

/** Sequences count anew in each run. */
function isNewer(heartbeat: EndpointHeartbeat, known: EndpointHeartbeat): boolean {
  if (heartbeat.startedAtMs !== known.startedAtMs) return heartbeat.startedAtMs > known.startedAtMs;
  return heartbeat.sequence > known.sequence;
}
