/**
 * Calls to a control instance over the network.
 */
import { PeerClient } from '@shedline/transport';
import type { PeerSettings } from '@shedline/config';
import type { ControlMethod, ControlPort } from './protocol.js';

/** Options of {@link RemoteControlPort}. */
export interface RemoteControlPortOptions {
  /** Name of the calling instance. */
  readonly name: string;
  readonly secret: string;
  readonly peer: PeerSettings;
}

/** {@link ControlPort} over a persistent connection. */
export class RemoteControlPort implements ControlPort {
  readonly name: string;
  private readonly client: PeerClient;

  constructor(options: RemoteControlPortOptions) {
    this.name = options.peer.name;
    this.client = new PeerClient({
      name: options.name,
      secret: options.secret,
      peerName: options.peer.name,
      url: `ws://${options.peer.host}:${options.peer.port}`,
    });
  }

  /** Whether the connection is up. */
  get isReady(): boolean {
    return this.client.isReady;
  }

  /** Total bytes sent to the instance. */
  get sentBytes(): number {
    return this.client.sentBytes;
  }

  call(method: ControlMethod, payload: unknown, timeoutMs: number): Promise<unknown> {
    return this.client.request(method, payload, timeoutMs);
  }

  close(): void {
    this.client.close();
  }
}
