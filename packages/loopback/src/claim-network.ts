/**
 * Claims loopback networks, so that no two fleets on one machine use the same addresses.
 */
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { listeningAddresses } from './open-sockets.js';

/** Number of values of the second and of the third octet of a network, from 1. */
const OCTET_VALUES = 250;
const NETWORKS = OCTET_VALUES * OCTET_VALUES;
/** Last octet of the address of the lock, above those of the processes of a fleet. */
const LOCK_HOST = 254;
/** Below the range of outgoing connections, any of which could otherwise hold the port. */
const LOCK_PORT = 7719;

/** Options of {@link claimNetwork}. */
export interface ClaimNetworkOptions {
  /** Number of the network that is tried first, such as a seed; default: the process id. */
  readonly first?: number;
  /** Maximum number of networks that are tried; default: all. */
  readonly attempts?: number;
}

/**
 * Claims a loopback network until this process ends and returns its first three octets. Networks
 * that are claimed already, or on which a socket listens, are skipped. Throws an error that says
 * what to do if no network is free.
 */
export async function claimNetwork({
  first = process.pid,
  attempts = NETWORKS,
}: ClaimNetworkOptions = {}): Promise<string> {
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const network = networkOf(first + attempt);
    if (await claim(network)) return network;
  }
  const [from, to] = [networkOf(first), networkOf(first + attempts - 1)];
  throw new Error(
    `no loopback network from ${from}.0 to ${to}.0 is free: end test runs that are still running, ` +
      `see "ss --listening --tcp --processes"`,
  );
}

function networkOf(number: number): string {
  const third = Math.floor(number / OCTET_VALUES) % OCTET_VALUES;
  return `127.${1 + (number % OCTET_VALUES)}.${1 + third}`;
}

/** Claims a network; returns false if it is in use. */
async function claim(network: string): Promise<boolean> {
  const lockHost = `${network}.${LOCK_HOST}`;
  const lock = await listenIfFree(lockHost, LOCK_PORT);
  if (lock === undefined) return false;
  // Processes that outlived the process which had claimed the network may still listen.
  const addresses = await listeningAddresses(network);
  if (addresses.every((address) => address === `${lockHost}:${LOCK_PORT}`)) return true;
  await new Promise((resolve) => lock.close(resolve));
  return false;
}

/** Listens until the process ends, without keeping it running; undefined if the address is in use. */
function listenIfFree(host: string, port: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(new Error(`cannot claim a loopback network: ${error.message}`, { cause: error }));
    });
    server.listen(port, host, () => {
      resolve(server.unref());
    });
  });
}
