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

/** A caller that disconnects on demand, or is disconnected from the start. */
class FakeSink implements ResponseSink {
  private readonly isDisconnected: boolean;
  private listener: () => void = () => undefined;

  constructor(isDisconnected: boolean) {
    this.isDisconnected = isDisconnected;
  }

  sendHead(): void {
    throw new Error('no response is expected');
  }
  write(): boolean {
    return true;
  }
  onDrain(): void {
    throw new Error('no response is expected');
  }
  end(): void {
    throw new Error('no response is expected');
  }
  abort(): void {
    throw new Error('no response is expected');
  }
  refuse(): void {
    throw new Error('no refusal is expected');
  }
  onDisconnect(listener: () => void): void {
    if (this.isDisconnected) listener();
    else this.listener = listener;
  }
  disconnect(): void {
    this.listener();
  }
}

/** One endpoint with a given number of free slots. */
class OneEndpoint implements EndpointChooser {
  readonly announcedWithinMs = 1000;
  slots: number;

  constructor(slots: number) {
    this.slots = slots;
  }

  choose(): ChosenEndpoint | undefined {
    return this.slots > 0
      ? { endpointId: 'e', address: 'a:1', softwareVersion: '', load: 0 }
      : undefined;
  }
  capacity(): { slots: number; entryCount: number } {
    return { slots: 1, entryCount: 1 };
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
    this.slots -= 1;
  }
  noteSendEnded(): void {
    this.slots += 1;
  }
  noteResponseStarted(): void {
    // Not used by these tests.
  }
  mayBeQueued(): boolean {
    return false;
  }
}

/** Counts sends; each send is in progress until it is stopped. */
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
  sharedPartsOf: () => [],
  sendHeaders: () => [],
  readHead: () => {
    throw new Error('no response is expected');
  },
};

function forward(
  sink: FakeSink,
  chooser: OneEndpoint,
): {
  readonly sender: CountingSender;
  readonly end: Promise<ForwardEnd>;
  readonly waitingCount: () => number;
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
    firstAttemptAtMs: 0,
    sink,
  });
  return { sender, end, waitingCount: () => forwarder.waitingCount };
}

describe('a caller that disconnects', () => {
  test(title('before its request is queued causes no send'), async (t) => {
    const chooser = new OneEndpoint(1);
    const { sender, end } = forward(new FakeSink(true), chooser);
    t.is(await end, 'callerGone');
    t.is(sender.sends, 0);
    t.is(chooser.slots, 1);
  });

  test(title('while its request waits for a slot is removed from the queue'), async (t) => {
    const chooser = new OneEndpoint(0);
    const sink = new FakeSink(false);
    const { sender, end, waitingCount } = forward(sink, chooser);
    t.is(waitingCount(), 1);
    sink.disconnect();
    t.is(await end, 'callerGone');
    t.is(waitingCount(), 0);
    t.is(sender.sends, 0);
  });

  test(title('while an endpoint executes its request stops it and frees its slot'), async (t) => {
    const chooser = new OneEndpoint(1);
    const sink = new FakeSink(false);
    const { sender, end } = forward(sink, chooser);
    await Promise.resolve();
    await new Promise((resolve) => setImmediate(resolve));
    t.is(sender.sends, 1);
    sink.disconnect();
    t.is(await end, 'callerGone');
    t.is(chooser.slots, 1);
  });
});
