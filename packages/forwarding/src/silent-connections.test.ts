/**
 * Guards against lost requests when all open connections to healthy endpoints become unresponsive
 * without a reset, while new connections work. Each connection that an entry keeps alive then loses
 * one request, and a request that continues at another endpoint is lost on an unresponsive
 * connection there too. A request that cannot continue elsewhere occupies its slot until its
 * deadline, so that idle endpoints look full.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { Route } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { PartitionRelay, describe, title } from '@shedline/test-utils';
import type { ChosenEndpoint } from './endpoint-queue.js';
import { EndpointSender } from './endpoint-sender.js';
import type { ResponseSink, EndpointChooser, ForwardEnd } from './forward-task.js';
import { Forwarder } from './forwarder.js';
import type { EndpointHead, EndpointProtocol } from './protocol.js';

/** Idle connections per endpoint when the connections become unresponsive. */
const IDLE_CONNECTIONS = 8;
/** Requests sent afterwards. */
const REQUESTS = 16;
/** Interval between these requests; a request does not wait for the previous one. */
const REQUEST_INTERVAL_MS = 20;
const DEADLINE_MS = 4000;
/** Far longer than a response takes, whatever the load on the test machine. */
const SILENCE_LIMIT_MS = 600;
const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  targets: [{ service: 's', weight: 1 }],
  timeLimitMs: DEADLINE_MS,
  targetMs: SILENCE_LIMIT_MS / 2,
  rank: 0,
  maxAttempts: 1,
  isResumable: false,
  longestPauseMs: SILENCE_LIMIT_MS / 2,
};

const PROTOCOL: EndpointProtocol = {
  sharedPartsOf: () => [],
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

/** An endpoint behind a relay; for `/hold` it sends one event and does not end the response. */
class RelayedEndpoint {
  readonly relay: PartitionRelay;
  private readonly server: Server;

  private constructor(server: Server, relay: PartitionRelay) {
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
    const relay = await PartitionRelay.start(() => (server.address() as AddressInfo).port);
    return new RelayedEndpoint(server, relay);
  }

  async close(): Promise<void> {
    await this.relay.close();
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Chooses the endpoints in turn, and counts the sends in progress. */
class RoundRobinChooser implements EndpointChooser {
  readonly announcedWithinMs = 1000;
  inFlight = 0;
  private readonly endpoints: readonly RelayedEndpoint[];
  private nextIndex = 0;

  constructor(endpoints: readonly RelayedEndpoint[]) {
    this.endpoints = endpoints;
  }

  choose(_service: string, tried: ReadonlySet<string>): ChosenEndpoint | undefined {
    const all = this.endpoints.map(({ relay }) => ({
      endpointId: `e-${relay.port}`,
      address: `127.0.0.1:${relay.port}`,
      softwareVersion: '',
      load: 0,
    }));
    const free = all.filter(({ endpointId }) => !tried.has(endpointId));
    this.nextIndex += 1;
    return free[this.nextIndex % Math.max(1, free.length)];
  }

  capacity(): { slots: number; entryCount: number } {
    return { slots: 100, entryCount: 1 };
  }

  isServed(): boolean {
    return true;
  }

  confirmServing(): Promise<boolean> {
    return Promise.resolve(true);
  }

  softwareVersionsOf(): readonly string[] {
    return [''];
  }

  isWriterCertain(): boolean {
    return true;
  }

  noteSendStarted(): void {
    this.inFlight += 1;
  }

  noteSendEnded(): void {
    this.inFlight -= 1;
  }

  noteResponseStarted(): void {
    // Not used by these tests.
  }

  mayBeQueued(): boolean {
    return false;
  }
}

/** A caller that waits until the response ends. */
class WaitingCaller implements ResponseSink {
  private readonly onEvent: () => void;

  constructor(onEvent: () => void) {
    this.onEvent = onEvent;
  }

  sendHead(): void {
    // Only the end of the request is checked.
  }
  write(): boolean {
    this.onEvent();
    return true;
  }
  onDrain(): void {
    // Not called, as `write` always returns true.
  }
  end(): void {
    // The forwarder reports the end.
  }
  abort(): void {
    // The forwarder reports the end.
  }
  refuse(): void {
    // The forwarder reports the end.
  }
  onDisconnect(): void {
    // Never disconnects.
  }
}

class Setup {
  readonly endpoints: readonly RelayedEndpoint[];
  readonly chooser: RoundRobinChooser;
  private readonly sender = new EndpointSender({
    protocol: PROTOCOL,
    isLeaving: () => false,
  });
  private readonly forwarder: Forwarder;
  private requestCount = 0;
  /** Number of events that callers have received. */
  events = 0;

  private constructor(endpoints: readonly RelayedEndpoint[]) {
    this.endpoints = endpoints;
    this.chooser = new RoundRobinChooser(endpoints);
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
    this.requestCount += 1;
    const requestId = `q-${this.requestCount}`;
    const nowMs = performance.now();
    return this.forwarder.run({
      request: { requestId, method: 'POST', path, headers: [], body: Buffer.from('b') },
      route: { ...ROUTE, ...route },
      service: 's',
      rank: 0,
      version: 1,
      deadlineMs: nowMs + DEADLINE_MS,
      arrivedAtMs: nowMs,
      firstAttemptAtMs: nowMs,
      sink: new WaitingCaller(() => {
        this.events += 1;
      }),
    });
  }

  /** Opens connections to all endpoints that stay idle, and makes them unresponsive. */
  async silenceIdleConnections(route: Partial<Route>): Promise<void> {
    const all = Array.from({ length: IDLE_CONNECTIONS * this.endpoints.length }, () =>
      this.request(route),
    );
    await Promise.all(all);
    for (const { relay } of this.endpoints) relay.stallOpenConnections();
  }

  /** Sends requests while the old connections are unresponsive; returns how they end. */
  async sendRequests(route: Partial<Route>): Promise<ForwardEnd[]> {
    const ends: Promise<ForwardEnd>[] = [];
    for (let request = 0; request < REQUESTS; request += 1) {
      ends.push(this.request(route));
      await pause(REQUEST_INTERVAL_MS);
    }
    return Promise.all(ends);
  }

  async close(): Promise<void> {
    await this.sender.destroy();
    await Promise.all(this.endpoints.map((endpoint) => endpoint.close()));
  }
}

describe('open connections become unresponsive, new connections work', () => {
  test(title('requests that may be executed only once all complete'), async (t) => {
    const setup = await Setup.start(1);
    await setup.silenceIdleConnections({});
    const ends = await setup.sendRequests({});
    await setup.close();
    t.deepEqual(ends, Array<ForwardEnd>(REQUESTS).fill('complete'));
  });

  test(title('requests that may continue elsewhere all complete'), async (t) => {
    const setup = await Setup.start(2);
    const resumable = { isResumable: true, maxAttempts: 2 };
    await setup.silenceIdleConnections(resumable);
    const ends = await setup.sendRequests(resumable);
    await setup.close();
    t.deepEqual(ends, Array<ForwardEnd>(REQUESTS).fill('complete'));
  });

  test(title('a request that cannot continue elsewhere releases its slot'), async (t) => {
    const setup = await Setup.start(1);
    let hasEnded = false;
    const heldRequest = setup.request({}, '/hold').then((end) => {
      hasEnded = true;
      return end;
    });
    while (setup.events === 0) await pause(5);
    t.is(setup.chooser.inFlight, 1);
    setup.endpoints[0]?.relay.stallOpenConnections();
    while (setup.chooser.inFlight > 0) await pause(5);
    t.false(hasEnded);
    const end = await heldRequest;
    await setup.close();
    t.is(end, 'cut');
    t.is(setup.chooser.inFlight, 0);
  });
});
