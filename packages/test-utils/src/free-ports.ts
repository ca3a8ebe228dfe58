/**
 * Ports for processes that tests start and restart.
 */
import { createServer } from 'node:net';
import type { Server } from 'node:net';

const HOST = '127.0.0.1';
/**
 * All ports are below the range of outgoing connections, 32,768 and up. While a process restarts,
 * a connection of another test may take any port of that range, and the process then can't listen.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 110;
/** Number of port ranges, and thus of test processes that can run at the same time. */
const PORT_RANGES = 200;

/** First port of the range of this process; see {@link claimRange}. */
let claimedRange: Promise<number> | undefined;
let offeredCount = 0;

/** Returns ports that are not in use, from a range that this process keeps until it ends. */
export async function freePorts(count: number): Promise<number[]> {
  claimedRange ??= claimRange();
  const lockPort = await claimedRange;
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried === PORTS_PER_PROCESS) throw new Error(`fewer than ${count} ports are free`);
    const port = lockPort + 1 + (offeredCount % (PORTS_PER_PROCESS - 1));
    offeredCount += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Claims a range by listening on its first port until this process ends. Otherwise another test
 * process could use the range, and take a port while the process that listened on it restarts.
 */
async function claimRange(): Promise<number> {
  for (let attempt = 0; attempt < PORT_RANGES; attempt += 1) {
    const port = FIRST_PORT + ((process.pid + attempt) % PORT_RANGES) * PORTS_PER_PROCESS;
    const lock = await listenIfFree(port);
    if (lock === undefined) continue;
    lock.unref();
    return port;
  }
  throw new Error(
    `all ${PORT_RANGES} port ranges are in use: end test runs that are still running`,
  );
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenIfFree(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Listens on a port; returns undefined if that fails. */
function listenIfFree(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, HOST, () => {
      resolve(server);
    });
  });
}
