/**
 * Asks the endpoint at an address for its id. A listening port does not show which process listens
 * there: the address of an endpoint that has ended may be in use again at once.
 */
import { get } from 'node:http';
import type { HealthCheckProtocol } from './protocol.js';

/**
 * Maximum time to wait for the id. An endpoint that has just started has free slots and responds
 * within a few ms; a health check that waits for a slot is not worth delaying a response for.
 */
const RESPONSE_TIMEOUT_MS = 150;

/** Asks the endpoint at an address for its id. */
export interface IdentityProbe {
  /** Returns the id that the process at `host:port` states; undefined if it states none in time. */
  endpointIdAt(address: string, healthPath: string): Promise<string | undefined>;
}

/** {@link IdentityProbe} that sends a health check, whose response carries the id. */
export class HealthCheckProbe implements IdentityProbe {
  private readonly protocol: HealthCheckProtocol;

  constructor(protocol: HealthCheckProtocol) {
    this.protocol = protocol;
  }

  endpointIdAt(address: string, healthPath: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const request = get(new URL(healthPath, `http://${address}`), { agent: false });
      const finish = (id?: string): void => {
        clearTimeout(timer);
        resolve(id);
        request.destroy();
      };
      const timer = setTimeout(() => {
        finish();
      }, RESPONSE_TIMEOUT_MS);
      request.once('response', ({ rawHeaders }) => {
        finish(this.protocol.readEndpointId(rawHeaders));
      });
      request.on('error', () => {
        finish();
      });
    });
  }
}
