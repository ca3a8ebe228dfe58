/**
 * Checks whether a process listens at an address. A broken connection alone does not show that its
 * endpoint crashed, as it may have been reset on its own. If the port is closed right after, the
 * process has ended.
 */
import { connect } from 'node:net';
import { connectOptionsOf } from './endpoint-address.js';
import { CONNECT_TIMEOUT_MS } from './endpoint-connections.js';

/**
 * State of an address; `silent` if nothing responds, as after a power loss or during a network
 * partition.
 */
export type ListeningState = 'open' | 'closed' | 'silent';

/** Checks whether a process listens at an address. */
export interface ListeningProbe {
  probe(address: string): Promise<ListeningState>;
}

/** {@link ListeningProbe} that opens a TCP connection and closes it at once. */
export class ConnectionProbe implements ListeningProbe {
  probe(address: string): Promise<ListeningState> {
    return new Promise((resolve) => {
      const socket = connect(connectOptionsOf(address));
      const finish = (state: ListeningState): void => {
        socket.destroy();
        resolve(state);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
        finish('silent');
      });
      socket.once('connect', () => {
        finish('open');
      });
      socket.once('error', (error: NodeJS.ErrnoException) => {
        finish(error.code === 'ECONNREFUSED' ? 'closed' : 'silent');
      });
    });
  }
}
