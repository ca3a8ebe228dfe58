/**
 * Adapts the peer connections of a process, and the process itself, to {@link CallPort}.
 */
import type { CallPort } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import { startReplyTimeout } from '@shedline/transport';
import type { PeerConnections } from '@shedline/transport';

/** Returns a call port for each connected peer. */
export function callPortsOf(connections: PeerConnections): CallPort[] {
  return connections.names.flatMap((name): CallPort[] => {
    const client = connections.get(name);
    if (client === undefined) return [];
    return [
      {
        name,
        isReady: client.isReady,
        call: (method, payload, timeoutMs) => client.request(method, payload, timeoutMs),
      },
    ];
  });
}

/**
 * Returns a call port for this process. Its calls time out like those to peers: a leader that is
 * partitioned, or whose disk does not respond, does not know yet that another one leads.
 */
export function ownCallPort(
  name: string,
  handle: (method: string, payload: unknown) => Promise<unknown>,
): CallPort {
  return {
    name,
    isReady: true,
    call: (method, payload, timeoutMs) =>
      new Promise((resolve, reject) => {
        const timer = startReplyTimeout(timeoutMs, () => {
          reject(createTimeoutError(name, method, timeoutMs));
        });
        handle(method, payload)
          .then(resolve, reject)
          .finally(() => {
            clearTimeout(timer);
          });
      }),
  };
}

function createTimeoutError(peer: string, step: string, timeoutMs: number): ShedlineError {
  const message = `this process did not reply within ${Math.round(timeoutMs)} ms`;
  return new ShedlineError({ type: 'unavailable', message, step, peer, ran: 'unknown' });
}
