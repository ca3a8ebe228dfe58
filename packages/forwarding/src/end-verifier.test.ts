/**
 * Guards against part of a response that counts as the whole. A response without a length ends with
 * its connection, which the kernel closes in order for a process that ends in mid-response, and the
 * next process may listen at the address at once. The endpoint here is such an address: `endProcess`
 * closes all connections in one turn and goes on accepting new ones.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { describe, title } from '@shedline/test-utils';
import { EndpointSender } from './endpoint-sender.js';
import type { SendResult } from './endpoint-sender.js';
import type { EndVerdict } from './end-verifier.js';
import type { EndpointProtocol } from './protocol.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const HEALTH_PATH = '/health';
/** Longer than an endpoint may take to close all connections when it ends. */
const LONGER_THAN_AN_END_MS = 60;
/** Time within which a process that ends closes all connections after its port. */
const SPREAD_OF_AN_END_MS = 8;
/** Time between the ends of two connections of a process that ends slowly. */
const SLOW_END_MS = 30;
/** Longer than a request takes to arrive on a connection that was accepted. */
const REQUEST_ARRIVAL_MS = 30;

const PROTOCOL: EndpointProtocol = {
  sharedPartsOf: () => [],
  sendHeaders: () => [],
  readHead: (status, headers) => ({
    status,
    headers,
    requestId: undefined,
    isNotExecuted: false,
    isSigned: true,
    isEventStream: false,
    endsWithConnection: !headers.some((name) => /^content-length$/i.test(name)),
  }),
};
/** Shorter than a `Keep-Alive` header can state. */
const SHORT_IDLE_MS = 600;

/** More than is read of a connection in one turn of the event loop. */
const LARGE_PART_BYTES = 20_000_000;

/** A request whose response the test writes. */
interface Exchange {
  /** The endpoint's side of the connection. */
  readonly socket: Socket;
  readonly result: Promise<string>;
  /** Reads the response again after it was paused. */
  readonly resume: () => void;
}

class Setup {
  readonly verdicts: EndVerdict[] = [];
  readonly leaving = new Set<string>();
  /** Whether the endpoint keeps connections that carry nothing open. */
  acceptsCompanions = true;
  /** Called with a connection on which a health check has arrived. */
  onHealthCheck: (socket: Socket) => void = () => undefined;
  /** Time after which connections that have carried nothing are closed. */
  idleTimeoutMs: number | undefined;
  /** Connections that have carried no request. */
  readonly companions = new Set<Socket>();
  acceptedCount = 0;
  private readonly sockets = new Set<Socket>();
  private readonly waiting: ((socket: Socket) => void)[] = [];
  private readonly server: Server;
  private readonly sender = new EndpointSender({
    protocol: PROTOCOL,
    isLeaving: (endpointId) => this.leaving.has(endpointId),
    healthPathOf: () => HEALTH_PATH,
    onUnframedEnd: (_send, verdict) => this.verdicts.push(verdict),
  });

  constructor(t: ExecutionContext) {
    this.server = createServer((socket) => {
      this.accept(socket);
    });
    t.teardown(async () => {
      await this.sender.destroy();
      this.endProcess();
      this.server.close();
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /**
   * Sends a request, and resolves when the endpoint has received it. Its reader waits after each of
   * the first `waits` parts of the response.
   */
  async send({ waits = 0 }: { readonly waits?: number } = {}): Promise<Exchange> {
    let waitsLeft = waits;
    const { port } = this.server.address() as AddressInfo;
    const received = new Promise<Socket>((resolve) => this.waiting.push(resolve));
    const running = this.sender.send(
      {
        endpointId: 'e',
        address: `127.0.0.1:${port}`,
        requestId: 'q',
        method: 'POST',
        path: '/',
        headers: [],
        body: Buffer.from('body'),
        mayBeRepeated: false,
      },
      { onHead: () => undefined, onPart: () => (waitsLeft -= 1) < 0 },
    );
    const socket = await received;
    const resume = (): void => {
      running.resume();
    };
    return { socket, result: running.result.then(kindOf), resume };
  }

  /** Makes the sender know that the endpoint states a length in its responses. */
  async learnThatResponsesAreFramed(): Promise<void> {
    const { socket, result } = await this.send();
    socket.end(`${HEAD}Content-Length: 1\r\n\r\na`);
    await result;
    await until(() => this.companions.size === 0);
  }

  /**
   * The process ends, and another one listens at its address at once, or before the end. Connections
   * that were accepted since then stay open.
   */
  endProcess({ successorCount = 0 }: { readonly successorCount?: number } = {}): void {
    const own = [...this.sockets].slice(0, this.sockets.size - successorCount);
    for (const socket of own) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.acceptedCount += 1;
    this.sockets.add(socket);
    this.companions.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.companions.delete(socket);
    });
    socket.once('data', (bytes) => {
      this.companions.delete(socket);
      if (bytes.toString().startsWith(`GET ${HEALTH_PATH} `)) this.onHealthCheck(socket);
      else this.waiting.shift()?.(socket);
    });
    if (this.idleTimeoutMs !== undefined) {
      setTimeout(() => this.companions.has(socket) && socket.end(), this.idleTimeoutMs);
    }
    if (this.acceptsCompanions) return;
    setTimeout(() => {
      if (this.companions.has(socket)) socket.resetAndDestroy();
    }, REQUEST_ARRIVAL_MS);
  }
}

function kindOf(result: SendResult): string {
  return result.kind === 'ended' ? result.outcome.kind : result.kind;
}

function stallFor(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

async function start(t: ExecutionContext): Promise<Setup> {
  const setup = new Setup(t);
  await setup.listen();
  return setup;
}

describe('a response without a length', () => {
  for (const isFramedBefore of [false, true]) {
    const endpoint = isFramedBefore ? 'an endpoint that stated lengths before' : 'a new endpoint';

    test(title(`is truncated if its process ends (${endpoint})`), async (t) => {
      const setup = await start(t);
      if (isFramedBefore) await setup.learnThatResponsesAreFramed();
      const { socket, result } = await setup.send();
      socket.write(`${HEAD}\r\npart`);
      await until(() => setup.companions.size > 0);
      await pause(LONGER_THAN_AN_END_MS);
      setup.endProcess();
      t.is(await result, 'brokeOff');
      t.deepEqual(setup.verdicts, ['ended']);
    });

    test(title(`is truncated if its process ends at once (${endpoint})`), async (t) => {
      const setup = await start(t);
      if (isFramedBefore) await setup.learnThatResponsesAreFramed();
      const { socket, result } = await setup.send();
      socket.write(`${HEAD}\r\npart`, () => {
        setup.endProcess();
      });
      t.is(await result, 'brokeOff');
    });

    test(
      title(`is whole if it reports an error and its process goes on (${endpoint})`),
      async (t) => {
        const setup = await start(t);
        if (isFramedBefore) await setup.learnThatResponsesAreFramed();
        const { socket, result } = await setup.send();
        socket.write('HTTP/1.1 500 Failed\r\n\r\nall');
        await until(() => setup.companions.size > 0);
        await pause(LONGER_THAN_AN_END_MS);
        socket.end();
        t.is(await result, 'failure');
      },
    );

    test(title(`is whole if its process goes on (${endpoint})`), async (t) => {
      const setup = await start(t);
      if (isFramedBefore) await setup.learnThatResponsesAreFramed();
      const { socket, result } = await setup.send();
      socket.write(`${HEAD}\r\nall`);
      await until(() => setup.companions.size > 0);
      await pause(LONGER_THAN_AN_END_MS);
      socket.end();
      t.is(await result, 'complete');
    });
  }

  test(title('is whole if it ends as soon as it begins and its process goes on'), async (t) => {
    const setup = await start(t);
    for (let count = 0; count < 5; count += 1) {
      const { socket, result } = await setup.send();
      socket.end(`${HEAD}\r\nall`);
      t.is(await result, 'complete');
    }
  });

  describe('of an endpoint that drains', () => {
    async function startDraining(t: ExecutionContext): Promise<Setup & { exchange: Exchange }> {
      const setup = await start(t);
      const exchange = await setup.send();
      setup.leaving.add('e');
      exchange.socket.write(`${HEAD}\r\npart`);
      await until(() => setup.companions.size > 0);
      return Object.assign(setup, { exchange });
    }

    test(title('is whole if its process goes on'), async (t) => {
      const { exchange } = await startDraining(t);
      exchange.socket.end();
      t.is(await exchange.result, 'complete');
    });

    // The process exits as soon as it has responded, before other evidence is due.
    for (const stallMs of [0, 2 * LONGER_THAN_AN_END_MS]) {
      test.serial(
        title(`is whole if its process responds and exits (${stallMs} ms stall)`),
        async (t) => {
          const setup = await startDraining(t);
          setup.onHealthCheck = (socket) => {
            socket.end('HTTP/1.1 503 Draining\r\n\r\n', () => {
              setup.endProcess();
            });
            stallFor(stallMs);
          };
          setup.exchange.socket.end();
          t.is(await setup.exchange.result, 'complete');
        },
      );
    }

    // A health check that is answered closes the companion that other responses share.
    test(
      title('is whole if it ends beside others and each connection carries one response'),
      async (t) => {
        const setup = await startDraining(t);
        setup.onHealthCheck = (socket) => socket.end('HTTP/1.0 503 Draining\r\n\r\n');
        const exchanges = [
          setup.exchange,
          await setup.send(),
          await setup.send(),
          await setup.send(),
        ];
        for (const { socket } of exchanges.slice(1)) socket.write(`${HEAD}\r\npart`);
        await pause(2 * LONGER_THAN_AN_END_MS);
        for (const { socket } of exchanges) {
          socket.end();
          await pause(5);
        }
        const results = await Promise.all(exchanges.map(({ result }) => result));
        t.deepEqual(results, ['complete', 'complete', 'complete', 'complete']);
      },
    );

    test(
      title('is truncated if its process ends slowly and a time-out response arrives in pieces'),
      async (t) => {
        const setup = await startDraining(t);
        setup.onHealthCheck = (socket) => {
          socket.write('HTTP/1.1 4');
          setTimeout(() => socket.end('08 Request Timeout\r\n\r\n'), SLOW_END_MS);
        };
        setup.exchange.socket.end();
        t.is(await setup.exchange.result, 'brokeOff');
      },
    );

    test(title('is truncated if its process ends during it'), async (t) => {
      const setup = await startDraining(t);
      await pause(LONGER_THAN_AN_END_MS);
      setup.endProcess();
      t.is(await setup.exchange.result, 'brokeOff');
    });

    // A process that ended may close its connections one after the other, on a busy instance.
    for (const lastBytes of ['', 'HTTP/1.1 408 Request Timeout\r\n\r\n']) {
      const sent = lastBytes === '' ? 'nothing' : 'a time-out response';
      test(title(`is truncated if its process ends slowly and sends ${sent}`), async (t) => {
        const setup = await startDraining(t);
        setup.onHealthCheck = (socket) => {
          setTimeout(() => socket.end(lastBytes), SLOW_END_MS);
        };
        setup.exchange.socket.end();
        t.is(await setup.exchange.result, 'brokeOff');
      });
    }
  });

  // Endpoints close connections that carry nothing for a while.
  for (const ending of ['its process goes on', 'its process ends'] as const) {
    test(title(`has another companion if the first is closed, and ${ending}`), async (t) => {
      const setup = await start(t);
      const { socket, result } = await setup.send();
      socket.write(`${HEAD}\r\npart`);
      await until(() => setup.companions.size > 0);
      await pause(LONGER_THAN_AN_END_MS);
      const { acceptedCount } = setup;
      for (const companion of setup.companions) companion.end();
      await until(() => setup.acceptedCount > acceptedCount);
      await pause(LONGER_THAN_AN_END_MS);
      if (ending === 'its process ends') setup.endProcess();
      else socket.end();
      t.is(await result, ending === 'its process ends' ? 'brokeOff' : 'complete');
    });
  }

  // A process closes its port first as it ends, and its other connections up to some milliseconds later.
  test(title('is truncated if a companion reaches the successor before it ends'), async (t) => {
    const setup = await start(t);
    const { socket, result } = await setup.send();
    socket.write(`${HEAD}\r\npart`);
    await until(() => setup.acceptedCount === 3);
    setup.endProcess({ successorCount: 1 });
    t.is(await result, 'brokeOff');
  });

  test(
    title('is truncated if its companion, opened after its head, reaches the successor'),
    async (t) => {
      const setup = await start(t);
      await setup.learnThatResponsesAreFramed();
      const { socket, result } = await setup.send();
      const { acceptedCount } = setup;
      socket.write(`${HEAD}\r\npart`);
      await until(() => setup.acceptedCount > acceptedCount);
      await pause(SPREAD_OF_AN_END_MS);
      setup.endProcess({ successorCount: 1 });
      t.is(await result, 'brokeOff');
    },
  );

  // What a process has sent may arrive for a while after its end, such as over a slow network.
  test(title('is truncated if its process ends and another response arrives slowly'), async (t) => {
    const setup = await start(t);
    const other = await setup.send();
    const { socket, result } = await setup.send();
    other.socket.write(`${HEAD}Content-Length: 1000000\r\n\r\n`);
    socket.write(`${HEAD}\r\npart`);
    await pause(LONGER_THAN_AN_END_MS);
    const writing = setInterval(() => other.socket.write('x'), 5);
    t.teardown(() => {
      clearInterval(writing);
    });
    for (const companion of setup.companions) companion.destroy();
    socket.destroy();
    t.is(await result, 'brokeOff');
    clearInterval(writing);
    setup.endProcess();
    t.is(await other.result, 'brokeOff');
  });

  describe('of an endpoint that closes idle connections early', () => {
    for (const ending of ['its process goes on', 'its process ends'] as const) {
      const expected = ending === 'its process ends' ? 'brokeOff' : 'complete';

      test(title(`is accompanied by a companion of another request, and ${ending}`), async (t) => {
        const setup = await start(t);
        setup.idleTimeoutMs = SHORT_IDLE_MS;
        const earlier = await setup.send();
        earlier.socket.write(`${HEAD}\r\nall`);
        await pause(SHORT_IDLE_MS / 2);
        const { socket, result } = await setup.send();
        earlier.socket.end();
        socket.write(`${HEAD}\r\npart`);
        await pause(SHORT_IDLE_MS / 2);
        if (ending === 'its process ends') setup.endProcess();
        else socket.end();
        t.is(await result, expected);
      });

      test(title(`begins after a while, and ${ending}`), async (t) => {
        const setup = await start(t);
        setup.idleTimeoutMs = SHORT_IDLE_MS;
        const { socket, result } = await setup.send();
        await pause(SHORT_IDLE_MS - 20);
        socket.write(`${HEAD}\r\npart`);
        if (ending === 'its process ends') setup.endProcess();
        else socket.end();
        t.is(await result, expected);
      });
    }
  });

  describe('of an endpoint that accepts no further connection', () => {
    test(title('is not known to be whole'), async (t) => {
      const setup = await start(t);
      setup.acceptsCompanions = false;
      const { socket, result } = await setup.send();
      socket.write(`${HEAD}\r\nall`);
      await until(() => setup.acceptedCount === 2 && setup.companions.size === 0);
      await pause(LONGER_THAN_AN_END_MS);
      socket.end();
      t.is(await result, 'brokeOff');
    });

    test(title('is whole if another response goes on after its end'), async (t) => {
      const setup = await start(t);
      setup.acceptsCompanions = false;
      const other = await setup.send();
      const { socket, result } = await setup.send();
      const writing = setInterval(() => other.socket.write('x'), 5);
      other.socket.write(`${HEAD}Content-Length: 1000000\r\n\r\n`);
      socket.write(`${HEAD}\r\nall`);
      await pause(LONGER_THAN_AN_END_MS);
      socket.end();
      t.is(await result, 'complete');
      clearInterval(writing);
      setup.endProcess();
      t.is(await other.result, 'brokeOff');
    });

    // What has arrived of the other response is read after the end although its process has ended.
    test.serial(
      title('is not known to be whole if another response is read after its end'),
      async (t) => {
        const setup = await start(t);
        setup.acceptsCompanions = false;
        const other = await setup.send({ waits: 1 });
        const { socket, result } = await setup.send();
        other.socket.write(`${HEAD}\r\n${'x'.repeat(LARGE_PART_BYTES)}`);
        socket.write(`${HEAD}\r\npart`);
        await pause(LONGER_THAN_AN_END_MS);
        setup.endProcess();
        await pause(REQUEST_ARRIVAL_MS);
        other.resume();
        stallFor(LONGER_THAN_AN_END_MS);
        t.is(await result, 'brokeOff');
      },
    );
  });

  // The end of a paused response is not noticed, so a companion that opens meanwhile may belong to
  // the next process.
  test(title('is truncated if the address changes hands while its reader waits'), async (t) => {
    const setup = await start(t);
    await setup.learnThatResponsesAreFramed();
    const { socket, result, resume } = await setup.send({ waits: Infinity });
    socket.write(`${HEAD}\r\npart`);
    await until(() => setup.companions.size > 0);
    await pause(LONGER_THAN_AN_END_MS);
    setup.endProcess();
    await pause(LONGER_THAN_AN_END_MS);
    resume();
    t.is(await result, 'brokeOff');
  });

  // The client reads the last part and the end of the connection at once, and throws if it is paused
  // at the end.
  test(title('is whole if its reader waits at its last part'), async (t) => {
    const setup = await start(t);
    const { socket, result, resume } = await setup.send({ waits: Infinity });
    socket.write(`${HEAD}\r\nfirst`);
    await until(() => setup.companions.size > 0);
    await pause(LONGER_THAN_AN_END_MS);
    socket.end('last');
    await pause(LONGER_THAN_AN_END_MS);
    resume();
    await pause(LONGER_THAN_AN_END_MS);
    resume();
    t.is(await result, 'complete');
  });
});
