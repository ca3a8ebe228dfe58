/**
 * Lists the sockets of an IP address, to find out what keeps a process from listening on it.
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

/**
 * Returns `local remote state` of the TCP sockets whose local address is an IPv4 address or any
 * address; an empty list on systems without a socket table.
 */
export async function openSocketsAt(host: string): Promise<string[]> {
  const table = await readFile(SOCKET_TABLE, 'utf8').catch(() => '');
  return socketsAt(host, table);
}

/** Returns the sockets of an address in the text of a socket table. */
export function socketsAt(host: string, table: string): string[] {
  return table
    .split('\n')
    .slice(1)
    .flatMap((line) => {
      const [, local = '', remote = '', state = ''] = line.trim().split(/\s+/);
      if (!local.includes(':')) return [];
      const address = addressOf(local);
      if (!address.startsWith(`${host}:`) && !address.startsWith('0.0.0.0:')) return [];
      return [`${address} ${addressOf(remote)} ${STATES[state] ?? state}`];
    });
}

/** Decodes an address of the table: the bytes of the IP address in reverse order, then the port. */
function addressOf(encoded: string): string {
  const [ip = '', port = ''] = encoded.split(':');
  const octets = (ip.match(/../g) ?? []).reverse().map((octet) => parseInt(octet, 16));
  return `${octets.join('.')}:${parseInt(port, 16)}`;
}
