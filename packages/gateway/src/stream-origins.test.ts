import test from 'ava';
import type { AgedHeartbeat } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import type { OriginRecord, OriginReply } from '@shedline/stream-origins';
import { describe, title } from '@shedline/test-utils';
import type { PeerClient } from '@shedline/transport';
import { StreamOrigins } from './stream-origins.js';
import type { ContinuedStream } from './stream-origins.js';

const SERVICE = 's';
const STREAM: ContinuedStream = {
  requestId: 'second',
  attempt: { host: 'h', workspace: undefined, requestId: 'first' },
  services: [SERVICE],
};
const BEGUN = {
  attempt: { host: 'h', workspace: undefined, requestId: 'first' },
  service: SERVICE,
  softwareVersion: 'v1',
  writer: 'e',
  timeLimitMs: 5000,
};

/** A control process that keeps what it is sent, and replies as told. */
class FakeControl {
  readonly peerName: string;
  readonly received: OriginRecord[] = [];
  readonly inDoubt: string[] = [];
  questions = 0;
  reply: (question: number) => OriginReply = () => ({ versions: [], coversKeepTime: true });

  constructor(peerName: string) {
    this.peerName = peerName;
  }

  send(method: string, payload: unknown[]): void {
    if (method === 'streamOrigins') this.received.push(...(payload as OriginRecord[]));
    else this.inDoubt.push(...(payload as string[]));
  }

  request(): Promise<OriginReply> {
    this.questions += 1;
    return Promise.resolve(this.reply(this.questions));
  }
}

function setup(controlCount: number, lostCount = 0, isCertain = true) {
  const controls = Array.from({ length: controlCount }, (_, index) => new FakeControl(`c${index}`));
  const origins = new StreamOrigins({
    isWriterCertain: () => isCertain,
    controls: { ready: controls as unknown as PeerClient[] },
    controlCount: () => controlCount + lostCount,
    logger: createLogger({ level: 'silent' }),
    metrics: new ProcessMetrics(),
    nowMs: () => 1000,
  });
  return { controls, origins };
}

function heartbeatOf(softwareVersion: string): AgedHeartbeat {
  const heartbeat = {
    endpointId: softwareVersion,
    startedAtMs: 1,
    service: SERVICE,
    address: 'a:1',
    availabilityZone: 'z',
    softwareVersion,
    slots: 8,
    warmUpLeftMs: 0,
    sequence: 1,
  };
  return { ageMs: 0, heartbeat };
}

function replyWith(versions: readonly string[]): OriginReply {
  return {
    versions: versions.map((softwareVersion) => ({ service: SERVICE, softwareVersion })),
    coversKeepTime: true,
  };
}

describe('StreamOrigins', () => {
  test(title('sends no record while one version serves, and all once a second does'), (t) => {
    const { controls, origins } = setup(3);
    origins.observeHeartbeats([heartbeatOf('v1')]);
    origins.begun(BEGUN);
    t.deepEqual(
      controls.map(({ received }) => received.length),
      [0, 0, 0],
    );
    origins.observeHeartbeats([heartbeatOf('v2')]);
    t.deepEqual(
      controls.map(({ received }) => received.length),
      [1, 1, 1],
    );
    origins.begun({ ...BEGUN, attempt: { ...BEGUN.attempt, requestId: 'other' } });
    t.deepEqual(
      controls.map(({ received }) => received.length),
      [2, 2, 2],
    );
  });

  test(title('sends each record to three of many control processes'), (t) => {
    const { controls, origins } = setup(8);
    origins.observeHeartbeats([heartbeatOf('v1'), heartbeatOf('v2')]);
    origins.begun(BEGUN);
    t.is(controls.filter(({ received }) => received.length === 1).length, 3);
  });

  // A control process that restarts has lost its records.
  test(title('sends its records again to a control process that connects'), (t) => {
    const { controls, origins } = setup(3);
    origins.observeHeartbeats([heartbeatOf('v1'), heartbeatOf('v2')]);
    origins.begun(BEGUN);
    origins.onControlConnected('c1');
    t.deepEqual(
      controls.map(({ received }) => received.length),
      [1, 2, 1],
    );
  });

  test(title('knows its own streams without a question'), async (t) => {
    const { controls, origins } = setup(3);
    origins.observeHeartbeats([heartbeatOf('v1'), heartbeatOf('v2')]);
    origins.begun(BEGUN);
    t.like(await origins.find(STREAM), { isKnown: true, origin: { softwareVersion: 'v1' } });
    t.is(controls[0]?.questions, 0);
  });

  // An endpoint may have restarted as another version before its entry knew.
  test(title('withdraws the records of a writer that is in doubt'), async (t) => {
    const { controls, origins } = setup(3);
    origins.observeHeartbeats([heartbeatOf('v1'), heartbeatOf('v2')]);
    origins.begun(BEGUN);
    origins.writerInDoubt('e', 900);
    t.deepEqual(
      controls.map(({ inDoubt }) => inDoubt.length),
      [1, 1, 1],
    );
    t.is(controls[0]?.inDoubt[0], controls[0]?.received[0]?.key);
    t.like(await origins.find(STREAM), { isKnown: false, reason: 'several versions' });
  });

  test(title('does not rely on its own record while the writer is not certain'), async (t) => {
    const { origins } = setup(3, 0, false);
    origins.observeHeartbeats([heartbeatOf('v1'), heartbeatOf('v2')]);
    origins.begun(BEGUN);
    t.false((await origins.find(STREAM)).isKnown);
    t.false(origins.isCertain(BEGUN.attempt));
  });

  test(title('asks again for a record that is on its way'), async (t) => {
    const { controls, origins } = setup(3);
    const several = replyWith(['v1', 'v2']);
    const origin = { service: SERVICE, softwareVersion: 'v2' };
    for (const control of controls)
      control.reply = (question) => (question === 1 ? several : { ...several, origin });
    t.like(await origins.find(STREAM), { isKnown: true, origin });
    t.is(controls[0]?.questions, 2);
  });

  test(
    title('does not know a stream whose caller names no attempt if several serve'),
    async (t) => {
      const { controls, origins } = setup(3);
      for (const control of controls) control.reply = () => replyWith(['v1', 'v2']);
      const verdict = await origins.find({ ...STREAM, attempt: undefined });
      t.deepEqual(verdict, { isKnown: false, reason: 'several versions' });
      t.is(controls[0]?.questions, 1);
    },
  );

  test(title('finds a record that any one control process holds'), async (t) => {
    const origin = { service: SERVICE, softwareVersion: 'v2' };
    for (let holder = 0; holder < 8; holder += 1) {
      const { controls, origins } = setup(8);
      for (const control of controls) control.reply = () => replyWith(['v1', 'v2']);
      const control = controls[holder];
      if (control !== undefined) control.reply = () => ({ ...replyWith(['v2']), origin });
      t.like(await origins.find(STREAM), { isKnown: true, origin });
    }
  });

  test(
    title('does not infer the only version without a majority of control processes'),
    async (t) => {
      const { controls, origins } = setup(1, 2);
      for (const control of controls) control.reply = () => replyWith(['v1']);
      t.deepEqual(await origins.find(STREAM), { isKnown: false, reason: 'no majority' });
    },
  );
});
