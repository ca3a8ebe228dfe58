/**
 * Lists the sockets of loopback addresses, to find out what keeps a process from listening there.
 */
import { readFile } from 'node:fs/promises';

const SOCKET_TABLE = '/proc/net/tcp';
const STATES: Readonly<Record<string, string>> = {
  '01': 'established',
  '02': 'connecting',
  '06': 'time wait',
  '08': 'close wait',
  '0A': 'listening',
};

interface SocketEntry {
  /** `host:port`. */
  readonly local: string;
  /** `host:port`. */
  readonly remote: string;
  readonly state: string;
}

/**
 * Returns `local remote state` of the TCP sockets whose local address is an IPv4 address or any
 * address; an empty list on systems without a socket table.
 */
export async function openSocketsAt(host: string): Promise<string[]> {
  return socketsAt(host, await readSocketTable());
}

/**
 * Returns the addresses (`host:port`) at which sockets listen in a network, given by its first three
 * octets; an empty list on systems without a socket table.
 */
export async function listeningAddresses(network: string): Promise<string[]> {
  return entriesOf(await readSocketTable())
    .filter(({ local, state }) => local.startsWith(`${network}.`) && state === 'listening')
    .map(({ local }) => local);
}

/** Returns the sockets of an address in the text of a socket table. */
export function socketsAt(host: string, table: string): string[] {
  return entriesOf(table)
    .filter(({ local }) => local.startsWith(`${host}:`) || local.startsWith('0.0.0.0:'))
    .map(({ local, remote, state }) => `${local} ${remote} ${state}`);
}

function readSocketTable(): Promise<string> {
  return readFile(SOCKET_TABLE, 'utf8').catch(() => '');
}

function entriesOf(table: string): SocketEntry[] {
  return table
    .split('\n')
    .slice(1)
    .flatMap((line) => {
      const [, local = '', remote = '', state = ''] = line.trim().split(/\s+/);
      if (!local.includes(':')) return [];
      return [
        { local: addressOf(local), remote: addressOf(remote), state: STATES[state] ?? state },
      ];
    });
}

/** Decodes an address of the table: the bytes of the IP address in reverse order, then the port. */
function addressOf(encoded: string): string {
  const [ip = '', port = ''] = encoded.split(':');
  const octets = (ip.match(/../g) ?? []).reverse().map((octet) => parseInt(octet, 16));
  return `${octets.join('.')}:${parseInt(port, 16)}`;
}
