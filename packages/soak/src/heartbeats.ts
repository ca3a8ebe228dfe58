/**
 * Heartbeats of the endpoints of one run, and what another writer says in their names.
 */
import type { FleetWire, SoakEndpoint } from './fleet-wire.js';
import type { Place } from './process-set.js';

/** Time between the heartbeats of an endpoint. */
export const HEARTBEAT_MS = 500;

/** Heartbeats of the endpoints that are up. */
export class Heartbeats {
  private readonly wire: FleetWire;
  private readonly controls: readonly Place[];
  private readonly endpoints = new Map<string, SoakEndpoint>();
  private readonly onNonsenseTaken: (variant: number) => void;
  private timer: NodeJS.Timeout | undefined;
  private rounds = 0;

  constructor(
    wire: FleetWire,
    controls: readonly Place[],
    onNonsenseTaken: (variant: number) => void,
  ) {
    this.wire = wire;
    this.controls = controls;
    this.onNonsenseTaken = onNonsenseTaken;
  }

  /** Begins to send. */
  start(): void {
    this.timer = setInterval(() => {
      for (const endpoint of this.endpoints.values()) void this.beat(endpoint, false);
      void this.sendNonsense();
    }, HEARTBEAT_MS);
  }

  /** Another writer says something in the name of one endpoint; nobody may heed it. */
  private async sendNonsense(): Promise<void> {
    const variant = this.rounds;
    this.rounds += 1;
    const endpoints = [...this.endpoints.values()];
    const endpoint = endpoints[variant % endpoints.length];
    const control = this.controls[variant % this.controls.length];
    if (endpoint === undefined || control === undefined) return;
    if (await this.wire.nonsense(control, endpoint, variant)) this.onNonsenseTaken(variant);
  }

  /** Adds an endpoint. */
  add(endpoint: SoakEndpoint): void {
    this.endpoints.set(endpoint.endpointId, endpoint);
    void this.beat(endpoint, false);
  }

  /** Sends no more for an endpoint. */
  remove(endpointId: string): void {
    this.endpoints.delete(endpointId);
  }

  /** Tells one control process after the other; true once one has acknowledged. */
  async beat(endpoint: SoakEndpoint, isLeaving: boolean): Promise<boolean> {
    for (const control of this.controls) {
      if (await this.wire.heartbeat(control, endpoint, isLeaving)) return true;
    }
    return false;
  }

  /** Ends. */
  stop(): void {
    clearInterval(this.timer);
  }
}
