/**
 * Half of the service was lost while connections were silent.
 *
 * Callers saw requests that never ended, for seconds, at a fleet whose endpoints were all well. Open
 * connections had gone silent for good, without a reset, while new ones worked. Each connection
 * that an entry had kept then took one more request with it; a request that went on elsewhere met the
 * next silent connection there. What could not go on elsewhere kept its slot until its deadline,
 * so that idle endpoints looked full.
 *
 * The evidence: logs of a fleet of processes in which all open connections were silenced. No
 * endpoint saw the requests that were lost; the same endpoints answered on new connections at the same
 * time; and a second send of the same request was lost at another endpoint just like the first.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { Route } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { CuttableRelay, describe, title } from '@shedline/test-utils';
import type { ChosenEndpoint } from './endpoint-queue.js';
import { EndpointSender } from './endpoint-sender.js';
import type { ResponseSink, EndpointChooser, ForwardEnd } from './forward-task.js';
import { Forwarder } from './forwarder.js';
import type { EndpointHead, EndpointProtocol } from './protocol.js';

/** Kept connections at the moment of silence. */
const KEPT = 8;
/** Requests after it. */
const REQUESTS = 16;
/** Pause between them: none waits for the one before. */
const REQUEST_PAUSE_MS = 20;
const DEADLINE_MS = 4000;
/** Far longer than an answer takes beside any load that tests run under. */
const SILENCE_MS = 600;
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  targets: [{ service: 's', weight: 1 }],
  timeLimitMs: DEADLINE_MS,
  targetMs: SILENCE_MS / 2,
  rank: 0,
  maxAttempts: 1,
  isResumable: false,
  longestPauseMs: SILENCE_MS / 2,
};

const PROTOCOL: EndpointProtocol = {
  sendHeaders: ({ requestId }) => ['Id', requestId],
  readHead: (status, headers): EndpointHead => ({
    status,
    headers,
    requestId: undefined,
    isNotExecuted: false,
    isSigned: true,
    isEventStream: true,
    endsWithConnection: false,
  }),
};

/** An endpoint behind a relay; `/hold` sends one event and no more. */
class RelayedEndpoint {
  readonly relay: CuttableRelay;
  private readonly server: Server;

  private constructor(server: Server, relay: CuttableRelay) {
    this.server = server;
    this.relay = relay;
  }

  static async start(): Promise<RelayedEndpoint> {
    const server = createServer((incoming, response) => {
      incoming.resume();
      incoming.on('end', () => {
        response.writeHead(200, { 'Content-Type': 'text/event-stream' });
        response.write('id: 1\ndata: a\n\n');
        if (incoming.url !== '/hold') setTimeout(() => response.end(), 10);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const relay = await CuttableRelay.start(() => (server.address() as AddressInfo).port);
    return new RelayedEndpoint(server, relay);
  }

  async close(): Promise<void> {
    await this.relay.close();
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Gives the endpoints by turns, and counts what is under way. */
class Turns implements EndpointChooser {
  readonly knownWithinMs = 1000;
  underWay = 0;
  private readonly endpoints: readonly RelayedEndpoint[];
  private turn = 0;

  constructor(endpoints: readonly RelayedEndpoint[]) {
    this.endpoints = endpoints;
  }

  choose(_service: string, tried: ReadonlySet<string>): ChosenEndpoint | undefined {
    const all = this.endpoints.map(({ relay }) => ({
      endpointId: `e-${relay.port}`,
      address: `127.0.0.1:${relay.port}`,
      load: 0,
    }));
    const free = all.filter(({ endpointId }) => !tried.has(endpointId));
    this.turn += 1;
    return free[this.turn % Math.max(1, free.length)];
  }

  capacity(): { slots: number; sharers: number } {
    return { slots: 100, sharers: 1 };
  }

  began(): void {
    this.underWay += 1;
  }

  ended(): void {
    this.underWay -= 1;
  }

  answers(): void {
    // Nothing depends on it here.
  }

  mayBeWaiting(): boolean {
    return false;
  }
}

/** A caller that waits to the end. */
class PatientCaller implements ResponseSink {
  private readonly onEvent: () => void;

  constructor(onEvent: () => void) {
    this.onEvent = onEvent;
  }

  head(): void {
    // Only how the request ends counts here.
  }
  write(): boolean {
    this.onEvent();
    return true;
  }
  onDrain(): void {
    // Never asked to wait.
  }
  end(): void {
    // The end is reported by the forwarder.
  }
  cut(): void {
    // The end is reported by the forwarder.
  }
  refuse(): void {
    // The end is reported by the forwarder.
  }
  onGone(): void {
    // Does not leave.
  }
}

class Setup {
  readonly endpoints: readonly RelayedEndpoint[];
  readonly chooser: Turns;
  private readonly sender = new EndpointSender({ protocol: PROTOCOL });
  private readonly forwarder: Forwarder;
  private sent = 0;
  /** Events that have reached callers. */
  events = 0;

  private constructor(endpoints: readonly RelayedEndpoint[]) {
    this.endpoints = endpoints;
    this.chooser = new Turns(endpoints);
    this.forwarder = new Forwarder({
      sender: this.sender,
      protocol: PROTOCOL,
      chooser: this.chooser,
      logger: createLogger({ level: 'silent' }),
      nowMs: () => performance.now(),
    });
  }

  static async start(endpoints: number): Promise<Setup> {
    const started = Array.from({ length: endpoints }, () => RelayedEndpoint.start());
    return new Setup(await Promise.all(started));
  }

  request(route: Partial<Route>, path = '/'): Promise<ForwardEnd> {
    this.sent += 1;
    const requestId = `q-${this.sent}`;
    const nowMs = performance.now();
    return this.forwarder.run({
      request: { requestId, method: 'POST', path, headers: [], body: Buffer.from('b') },
      route: { ...ROUTE, ...route },
      service: 's',
      rank: 0,
      version: 1,
      deadlineMs: nowMs + DEADLINE_MS,
      arrivedAtMs: nowMs,
      firstAskedAtMs: nowMs,
      sink: new PatientCaller(() => {
        this.events += 1;
      }),
    });
  }

  /** Leaves kept connections behind at all endpoints, and silences them. */
  async silenceKept(route: Partial<Route>): Promise<void> {
    const all = Array.from({ length: KEPT * this.endpoints.length }, () => this.request(route));
    await Promise.all(all);
    for (const { relay } of this.endpoints) relay.silenceOpen();
  }

  /** Ends of requests that come while the old connections are silent. */
  async ends(route: Partial<Route>): Promise<ForwardEnd[]> {
    const ends: Promise<ForwardEnd>[] = [];
    for (let request = 0; request < REQUESTS; request += 1) {
      ends.push(this.request(route));
      await pause(REQUEST_PAUSE_MS);
    }
    return Promise.all(ends);
  }

  async close(): Promise<void> {
    await this.sender.destroy();
    await Promise.all(this.endpoints.map((endpoint) => endpoint.close()));
  }
}

describe('open connections go silent, new ones work', () => {
  test(title('requests that may run once only are all answered'), async (t) => {
    const setup = await Setup.start(1);
    await setup.silenceKept({});
    const ends = await setup.ends({});
    await setup.close();
    t.deepEqual(ends, Array<ForwardEnd>(REQUESTS).fill('complete'));
  });

  test(title('requests that may go on elsewhere are all answered'), async (t) => {
    const setup = await Setup.start(2);
    const resumable = { isResumable: true, maxAttempts: 2 };
    await setup.silenceKept(resumable);
    const ends = await setup.ends(resumable);
    await setup.close();
    t.deepEqual(ends, Array<ForwardEnd>(REQUESTS).fill('complete'));
  });

  test(title('a request that nobody can go on for gives its slot back'), async (t) => {
    const setup = await Setup.start(1);
    let hasEnded = false;
    const held = setup.request({}, '/hold').then((end) => {
      hasEnded = true;
      return end;
    });
    while (setup.events === 0) await pause(5);
    t.is(setup.chooser.underWay, 1);
    setup.endpoints[0]?.relay.silenceOpen();
    while (setup.chooser.underWay > 0) await pause(5);
    t.false(hasEnded);
    const end = await held;
    await setup.close();
    t.is(end, 'cut');
    t.is(setup.chooser.underWay, 0);
  });
});
