/**
 * Addresses of endpoints, as they are registered.
 */
import type { TcpNetConnectOpts } from 'node:net';

const DEFAULT_PORT = 80;

/** Returns the host and port of `host:port` for a TCP connection; an IPv6 host is in brackets. */
export function connectOptionsOf(address: string): TcpNetConnectOpts {
  // A URL omits the default port of its scheme.
  const { hostname, port } = new URL(`http://${address}`);
  const host = hostname.startsWith('[') ? hostname.slice(1, -1) : hostname;
  return { host, port: port === '' ? DEFAULT_PORT : Number(port) };
}
