/**
 * Adapts the peer connections of a process to {@link CallPort}.
 */
import type { CallPort } from '@shedline/control-client';
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
