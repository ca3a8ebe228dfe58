/**
 * The peers of a process as places to call.
 */
import type { CallPort } from '@shedline/control-client';
import type { PeerConnections } from '@shedline/transport';

/** A port for each peer. */
export function portsOf(connections: PeerConnections): CallPort[] {
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
