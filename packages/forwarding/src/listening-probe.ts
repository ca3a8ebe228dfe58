/**
 * Finds out whether anybody listens at an address. A connection that breaks says little: it may have been
 * reset alone. A port that is closed right after says that the process behind it has ended.
 */
import { connect } from 'node:net';
import { CONNECT_TIMEOUT_MS } from './endpoint-connections.js';

/** What a look at an address shows; `silent` where nothing answers, as without power or behind a cut. */
export type ListeningState = 'open' | 'closed' | 'silent';

/** Looks whether anybody listens. */
export interface ListeningProbe {
  look(address: string): Promise<ListeningState>;
}

/** {@link ListeningProbe} that opens a TCP connection and closes it at once. */
export class ConnectionProbe implements ListeningProbe {
  look(address: string): Promise<ListeningState> {
    const { hostname, port } = new URL(`http://${address}`);
    return new Promise((resolve) => {
      const socket = connect({ host: hostname, port: Number(port) });
      const end = (state: ListeningState): void => {
        socket.destroy();
        resolve(state);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
        end('silent');
      });
      socket.once('connect', () => {
        end('open');
      });
      socket.once('error', (error: NodeJS.ErrnoException) => {
        end(error.code === 'ECONNREFUSED' ? 'closed' : 'silent');
      });
    });
  }
}
