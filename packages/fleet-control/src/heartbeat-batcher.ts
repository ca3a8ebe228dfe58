/**
 * Batches the heartbeats that a control process receives. Every heartbeat is forwarded to the other
 * control processes, and the first heartbeat of an incarnation to all connected processes. Without
 * batching, each heartbeat would cost one write and one read per peer.
 */
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';

/** Short compared with the time within which a started endpoint should receive requests. */
const FIRST_HEARTBEAT_DELAY_MS = 10;
/** Short compared with the heartbeat interval; an endpoint is missing after two intervals. */
const BATCH_DELAY_MS = 50;

/** Options of {@link HeartbeatBatcher}. */
export interface HeartbeatBatcherOptions {
  readonly nowMs: () => number;
  /** Sends heartbeats to the other control processes. */
  readonly sendToControls: (heartbeats: readonly AgedHeartbeat[]) => void;
  /** Sends heartbeats to every process that is connected. */
  readonly sendToAll: (heartbeats: readonly AgedHeartbeat[]) => void;
}

interface PendingHeartbeat {
  readonly heartbeat: EndpointHeartbeat;
  readonly receivedAtMs: number;
  readonly isNewIncarnation: boolean;
}

/** Collects heartbeats and forwards them in batches. */
export class HeartbeatBatcher {
  private readonly options: HeartbeatBatcherOptions;
  private pending: PendingHeartbeat[] = [];
  private timer: NodeJS.Timeout | undefined;
  private hasNewIncarnations = false;

  constructor(options: HeartbeatBatcherOptions) {
    this.options = options;
  }

  /** Adds a heartbeat received now; `isNewIncarnation` if it is the first of its incarnation. */
  add(heartbeat: EndpointHeartbeat, isNewIncarnation: boolean): void {
    this.pending.push({
      heartbeat,
      receivedAtMs: this.options.nowMs(),
      isNewIncarnation,
    });
    if (isNewIncarnation && !this.hasNewIncarnations) {
      this.hasNewIncarnations = true;
      clearTimeout(this.timer);
      this.timer = undefined;
    }
    this.timer ??= setTimeout(
      () => {
        this.flush();
      },
      this.hasNewIncarnations ? FIRST_HEARTBEAT_DELAY_MS : BATCH_DELAY_MS,
    );
  }

  /** Discards the pending heartbeats. */
  close(): void {
    clearTimeout(this.timer);
    this.pending = [];
  }

  private flush(): void {
    this.timer = undefined;
    this.hasNewIncarnations = false;
    const batch = this.pending;
    this.pending = [];
    const firstHeartbeats = batch.filter(({ isNewIncarnation }) => isNewIncarnation);
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
