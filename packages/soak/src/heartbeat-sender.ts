/**
 * Sends the heartbeats of the endpoints of one run, and invalid heartbeats with their ids.
 */
import type { FleetAdapter, SoakEndpoint } from './fleet-adapter.js';
import type { ProcessSpec } from './process-set.js';

/** Interval of the heartbeats of an endpoint. */
export const HEARTBEAT_MS = 500;

/** Sends heartbeats for the endpoints that are up. */
export class HeartbeatSender {
  private readonly adapter: FleetAdapter;
  private readonly controls: readonly ProcessSpec[];
  private readonly endpoints = new Map<string, SoakEndpoint>();
  private readonly onInvalidAccepted: (variant: number) => void;
  private timer: NodeJS.Timeout | undefined;
  private roundCount = 0;

  constructor(
    adapter: FleetAdapter,
    controls: readonly ProcessSpec[],
    onInvalidAccepted: (variant: number) => void,
  ) {
    this.adapter = adapter;
    this.controls = controls;
    this.onInvalidAccepted = onInvalidAccepted;
  }

  start(): void {
    this.timer = setInterval(() => {
      for (const endpoint of this.endpoints.values()) void this.send(endpoint, false);
      void this.sendInvalid();
    }, HEARTBEAT_MS);
  }

  /** Sends an invalid heartbeat with the id of one endpoint; it must be refused. */
  private async sendInvalid(): Promise<void> {
    const variant = this.roundCount;
    this.roundCount += 1;
    const endpoints = [...this.endpoints.values()];
    const endpoint = endpoints[variant % endpoints.length];
    const control = this.controls[variant % this.controls.length];
    if (endpoint === undefined || control === undefined) return;
    if (await this.adapter.sendInvalidHeartbeat(control, endpoint, variant))
      this.onInvalidAccepted(variant);
  }

  /** Adds an endpoint and sends its first heartbeat. */
  add(endpoint: SoakEndpoint): void {
    this.endpoints.set(endpoint.endpointId, endpoint);
    void this.send(endpoint, false);
  }

  /** Stops the heartbeats of an endpoint. */
  remove(endpointId: string): void {
    this.endpoints.delete(endpointId);
  }

  /** Sends a heartbeat to the control processes in turn until one acknowledges it. */
  async send(endpoint: SoakEndpoint, isLeaving: boolean): Promise<boolean> {
    for (const control of this.controls) {
      if (await this.adapter.heartbeat(control, endpoint, isLeaving)) return true;
    }
    return false;
  }

  stop(): void {
    clearInterval(this.timer);
  }
}
