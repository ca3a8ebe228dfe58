/**
 * Batches the heartbeats that a control process receives. Every heartbeat is forwarded to the other
 * control processes, and the first heartbeat of an incarnation to all connected processes. Without
 * batching, each heartbeat would cost one write and one read per peer.
 */
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';
import { maxForwardingDelayMs } from './forwarding-urgency.js';
import type { ForwardingUrgency } from './forwarding-urgency.js';

/** Options of {@link HeartbeatBatcher}. */
export interface HeartbeatBatcherOptions {
  /** Interval between the heartbeats of an endpoint. */
  readonly heartbeatMs: number;
  readonly nowMs: () => number;
  /** Sends heartbeats to the other control processes. */
  readonly sendToControls: (heartbeats: readonly AgedHeartbeat[]) => void;
  /** Sends heartbeats to every process that is connected. */
  readonly sendToAll: (heartbeats: readonly AgedHeartbeat[]) => void;
}

interface PendingHeartbeat {
  readonly heartbeat: EndpointHeartbeat;
  readonly receivedAtMs: number;
  readonly urgency: ForwardingUrgency;
}

/** Collects heartbeats and forwards them in batches. */
export class HeartbeatBatcher {
  private readonly options: HeartbeatBatcherOptions;
  private pending: PendingHeartbeat[] = [];
  private timer: NodeJS.Timeout | undefined;
  private flushAtMs = Infinity;

  constructor(options: HeartbeatBatcherOptions) {
    this.options = options;
  }

  /** Adds a heartbeat received now; all pending ones are sent when the most urgent one has to be. */
  add(heartbeat: EndpointHeartbeat, urgency: ForwardingUrgency): void {
    const receivedAtMs = this.options.nowMs();
    this.pending.push({ heartbeat, receivedAtMs, urgency });
    const delayMs = maxForwardingDelayMs(urgency, this.options.heartbeatMs);
    if (receivedAtMs + delayMs >= this.flushAtMs) return;
    this.flushAtMs = receivedAtMs + delayMs;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.flush();
    }, delayMs);
  }

  /** Discards the pending heartbeats. */
  close(): void {
    clearTimeout(this.timer);
    this.pending = [];
  }

  private flush(): void {
    this.flushAtMs = Infinity;
    const batch = this.pending;
    this.pending = [];
    const firstHeartbeats = batch.filter(({ urgency }) => urgency === 'firstOfRun');
    if (firstHeartbeats.length > 0) this.options.sendToAll(this.withAges(firstHeartbeats));
    this.options.sendToControls(this.withAges(batch));
  }

  private withAges(batch: readonly PendingHeartbeat[]): AgedHeartbeat[] {
    const nowMs = this.options.nowMs();
    return batch.map(({ heartbeat, receivedAtMs }) => ({
      heartbeat,
      ageMs: nowMs - receivedAtMs,
    }));
  }
}
