/**
 * Reads the state of the fleet from control processes, any of which may lag.
 */
import { KnownFleet } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { PeerClient } from '@shedline/transport';
import type { StateAnswer } from './protocol.js';

const READ_TIMEOUT_MS = 800;

/** The view of the fleet state of a process that sends no requests to endpoints. */
export class StateReader {
  readonly fleet = new KnownFleet();
  private readonly logger: Logger;

  constructor(logger: Logger) {
    this.logger = logger;
  }

  /**
   * Requests the changes from a control process, without the endpoints: with them, the replies to
   * stores were most of the traffic of a control process in a large fleet.
   */
  async readFrom(control: Pick<PeerClient, 'peerName' | 'request'>): Promise<void> {
    const { peerName: peer } = control;
    try {
      const answer = await control.request('fleetState', this.fleet.position, READ_TIMEOUT_MS);
      this.fleet.applyDelta((answer as StateAnswer).delta);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.logger.debug('could not read the fleet state', { step: 'refresh', peer, reason });
    }
  }
}
