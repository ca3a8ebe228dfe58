/**
 * The peer ports of the kinds of process on an instance.
 */
import type { PeerAddress } from '@shedline/transport';
import type { MemberKind } from '@shedline/mesh';

const PORT_OFFSET: Readonly<Record<MemberKind, number>> = { entry: 0, control: 1, store: 2 };

/** Returns the peer address of a kind of process on an instance. */
export function peerAddressOf(kind: MemberKind, host: string, firstPeerPort: number): PeerAddress {
  const port = firstPeerPort + PORT_OFFSET[kind];
  return { name: `${host}:${port}`, host, port };
}

/** Returns the peer address of a process by its name, which is `host:port`. */
export function peerAddressFromName(name: string): PeerAddress {
  const colon = name.lastIndexOf(':');
  return { name, host: name.slice(0, colon), port: Number(name.slice(colon + 1)) };
}

/** Returns the peer addresses of the control processes on the hosts of seed addresses. */
export function seedAddresses(seeds: readonly string[], firstPeerPort: number): PeerAddress[] {
  return seeds.map((seed) => {
    const host = seed.slice(0, seed.lastIndexOf(':'));
    return peerAddressOf('control', host, firstPeerPort);
  });
}
