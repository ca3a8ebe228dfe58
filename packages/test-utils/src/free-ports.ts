/**
 * Ports for processes that tests start and restart.
 */
import { createServer } from 'node:net';

const HOST = '127.0.0.1';
/**
 * All ports are below the range of outgoing connections, 32,768 and up. While a process restarts,
 * a connection of another test may take any port of that range, and the process then can't listen.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 110;
/** Number of port ranges, and thus of test processes that can run at the same time. */
const PORT_RANGES = 200;

const firstPortOfProcess = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;
let offeredCount = 0;

/** Returns ports that are not in use, from a range reserved for this process. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried === PORTS_PER_PROCESS) throw new Error(`fewer than ${count} ports are free`);
    const port = firstPortOfProcess + (offeredCount % PORTS_PER_PROCESS);
    offeredCount += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
