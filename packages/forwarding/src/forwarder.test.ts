import test from 'ava';
import type { Route } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import type { RequestSender, RunningSend } from './endpoint-sender.js';
import type { ChosenEndpoint } from './endpoint-queue.js';
import type { ResponseSink, EndpointChooser, ForwardEnd } from './forward-task.js';
import { Forwarder } from './forwarder.js';
import type { EndpointProtocol } from './protocol.js';

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  targets: [{ service: 's', weight: 1 }],
  timeLimitMs: 5000,
  targetMs: 300,
  rank: 0,
  maxAttempts: 2,
  isResumable: true,
  longestPauseMs: 200,
};

/** A caller that leaves when it is told to, or has left already. */
class FakeSink implements ResponseSink {
  private readonly hasLeft: boolean;
  private listener: () => void = () => undefined;

  constructor(hasLeft: boolean) {
    this.hasLeft = hasLeft;
  }

  head(): void {
    throw new Error('no answer is expected');
  }
  write(): boolean {
    return true;
  }
  onDrain(): void {
    throw new Error('no answer is expected');
  }
  end(): void {
    throw new Error('no answer is expected');
  }
  cut(): void {
    throw new Error('no answer is expected');
  }
  refuse(): void {
    throw new Error('nobody is there to be refused');
  }
  onGone(listener: () => void): void {
    if (this.hasLeft) listener();
    else this.listener = listener;
  }
  leave(): void {
    this.listener();
  }
}

/** One endpoint with as many free places as it is given. */
class OneEndpoint implements EndpointChooser {
  readonly knownWithinMs = 1000;
  places: number;

  constructor(places: number) {
    this.places = places;
  }

  choose(): ChosenEndpoint | undefined {
    return this.places > 0 ? { endpointId: 'e', address: 'a:1', load: 0 } : undefined;
  }
  capacity(): { slots: number; sharers: number } {
    return { slots: 1, sharers: 1 };
  }
  began(): void {
    this.places -= 1;
  }
  ended(): void {
    this.places += 1;
  }
  answers(): void {
    // Nothing depends on it here.
  }
  mayBeWaiting(): boolean {
    return false;
  }
}

/** Counts sends; none of them ends before it is stopped. */
class CountingSender implements RequestSender {
  sends = 0;

  send(): RunningSend {
    this.sends += 1;
    let stop: () => void = () => undefined;
    const result = new Promise<{ readonly kind: 'stopped' }>((resolve) => {
      stop = () => {
        resolve({ kind: 'stopped' });
      };
    });
    return { result, stop, resume: () => undefined };
  }
}

const PROTOCOL: EndpointProtocol = {
  sendHeaders: () => [],
  readHead: () => {
    throw new Error('no answer is expected');
  },
};

function forward(
  sink: FakeSink,
  chooser: OneEndpoint,
): {
  readonly sender: CountingSender;
  readonly end: Promise<ForwardEnd>;
  readonly waiting: () => number;
} {
  const sender = new CountingSender();
  const forwarder = new Forwarder({
    sender,
    protocol: PROTOCOL,
    chooser,
    logger: createLogger({ level: 'silent' }),
    nowMs: () => 0,
  });
  const end = forwarder.run({
    request: { requestId: 'q', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0) },
    route: ROUTE,
    service: 's',
    rank: 0,
    version: 1,
    deadlineMs: 5000,
    arrivedAtMs: 0,
    firstAskedAtMs: 0,
    sink,
  });
  return { sender, end, waiting: () => forwarder.waitingCount };
}

describe('a caller that leaves', () => {
  test(title('before its request is looked at reaches no endpoint'), async (t) => {
    const chooser = new OneEndpoint(1);
    const { sender, end } = forward(new FakeSink(true), chooser);
    t.is(await end, 'callerGone');
    t.is(sender.sends, 0);
    t.is(chooser.places, 1);
  });

  test(title('while it waits for a place leaves the queue'), async (t) => {
    const chooser = new OneEndpoint(0);
    const sink = new FakeSink(false);
    const { sender, end, waiting } = forward(sink, chooser);
    t.is(waiting(), 1);
    sink.leave();
    t.is(await end, 'callerGone');
    t.is(waiting(), 0);
    t.is(sender.sends, 0);
  });

  test(title('while an endpoint is at work stops it and frees its place'), async (t) => {
    const chooser = new OneEndpoint(1);
    const sink = new FakeSink(false);
    const { sender, end } = forward(sink, chooser);
    await Promise.resolve();
    await new Promise((resolve) => setImmediate(resolve));
    t.is(sender.sends, 1);
    sink.leave();
    t.is(await end, 'callerGone');
    t.is(chooser.places, 1);
  });
});
