import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { GroupCaller } from '@shedline/control-client';
import type { AgedHeartbeat, FleetDelta } from '@shedline/fleet';
import type { RefreshAnswer, StateAnswer } from '@shedline/fleet-control';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import type { PeerConnections } from '@shedline/transport';
import { FleetFollower } from './fleet-follower.js';

const HEARTBEAT: AgedHeartbeat = {
  ageMs: 0,
  heartbeat: {
    endpointId: 'e',
    startedAtMs: 0,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    slots: 8,
    warmUpLeftMs: 0,
    sequence: 1,
  },
};

function deltaOf(version: number): FleetDelta {
  return {
    position: { version, leaveCount: 0 },
    leaving: [],
    retiringStores: [],
    configuration: {
      version,
      routes: [],
      services: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
  };
}

/** Control processes that answer at once, each with the version that it knows. */
class FakeControls {
  readonly asked: string[] = [];
  readonly askedForState: string[] = [];
  private readonly versions: Readonly<Record<string, number>>;

  constructor(versions: Readonly<Record<string, number>>) {
    this.versions = versions;
  }

  get connections(): PeerConnections {
    const ready = Object.entries(this.versions).map(([peerName, version]) => ({
      peerName,
      request: (method: string): Promise<RefreshAnswer | StateAnswer> => {
        const isForState = method === 'fleetState';
        (isForState ? this.askedForState : this.asked).push(peerName);
        if (isForState) return Promise.resolve({ delta: deltaOf(version) });
        return Promise.resolve({
          delta: deltaOf(version),
          endpoints: { epoch: peerName, cursor: 1, heartbeats: [HEARTBEAT] },
        });
      },
    }));
    return { ready } as unknown as PeerConnections;
  }
}

/** A quorum that answers when the test says so. */
class FakeQuorum implements GroupCaller {
  answer: (delta: FleetDelta) => void = () => undefined;

  call(): Promise<unknown> {
    return new Promise((resolve) => {
      this.answer = resolve;
    });
  }
}

interface Setup {
  readonly follower: FleetFollower;
  readonly controls: FakeControls;
  readonly quorum: FakeQuorum;
  readonly heard: AgedHeartbeat[];
  readonly routes: number[];
}

function setup(versions: Readonly<Record<string, number>>): Setup {
  const controls = new FakeControls(versions);
  const quorum = new FakeQuorum();
  const heard: AgedHeartbeat[] = [];
  const routes: number[] = [];
  const follower = new FleetFollower({
    controls: controls.connections,
    caller: quorum,
    isNear: (control) => control === 'near',
    logger: createLogger({ level: 'silent' }),
    nowMs: () => performance.now(),
    onHeartbeats: (heartbeats) => heard.push(...heartbeats),
    onLeaving: () => undefined,
    onCrashes: () => undefined,
    onRoutes: () => routes.push(follower.fleet.position.version),
  });
  return { follower, controls, quorum, heard, routes };
}

async function until(what: () => boolean): Promise<void> {
  while (!what()) await pause(5);
}

describe('FleetFollower', () => {
  test(title('hears of endpoints before the quorum answers, but obeys no routes'), async (t) => {
    const all = setup({ near: 3 });
    const started = all.follower.start();
    await until(() => all.heard.length > 0);
    t.is(all.follower.fleet.routes, undefined, 'a control process alone may lag');
    all.quorum.answer(deltaOf(4));
    await started;
    t.deepEqual(all.routes, [4]);
    all.follower.stop();
  });

  /**
   * A control process that starts again tells of the state on its disk before it has heard from a leader. An entry that
   * starts beside it obeyed that, older than what had been acknowledged, until its first read through the quorum.
   */
  test(title('obeys nothing that is pushed before the quorum has answered'), async (t) => {
    const all = setup({});
    const started = all.follower.start();
    all.follower.takePushed(deltaOf(3), 'starting');
    t.is(all.follower.fleet.routes, undefined);
    all.quorum.answer(deltaOf(5));
    all.follower.takePushed(deltaOf(6), 'leading');
    await started;
    t.deepEqual(all.routes, [5, 6], 'what came meanwhile and is newer holds');
    all.follower.takePushed(deltaOf(7), 'leading');
    t.is(all.follower.fleet.position.version, 7);
    all.follower.stop();
  });

  /**
   * What is acknowledged while a control process is behind a cut is pushed to others only. Entries asked it again within 1.2 s
   * at best, by turns with all others: after a cut that took half of eight, some obeyed an old configuration for seconds.
   */
  test(title('asks a control process as soon as it is connected'), async (t) => {
    const all = setup({ near: 1, far: 2, distant: 3 });
    all.follower.controlConnected('distant');
    t.deepEqual(all.controls.askedForState, [], 'the first read is that of the quorum');
    const started = all.follower.start();
    all.quorum.answer(deltaOf(1));
    await started;
    all.follower.controlConnected('distant');
    t.deepEqual(all.controls.askedForState, ['distant'], 'at once, and not at its turn');
    await until(() => all.follower.fleet.position.version === 3);
    all.follower.stop();
  });

  test(title('asks the control process nearby each time, and the others by turns'), async (t) => {
    const all = setup({ first: 1, near: 1, second: 1 });
    const started = all.follower.start();
    all.quorum.answer(deltaOf(1));
    await started;
    await until(
      () => all.controls.asked.includes('first') && all.controls.asked.includes('second'),
    );
    all.follower.stop();
    const near = all.controls.asked.filter((name) => name === 'near').length;
    t.true(near >= 6, 'two others were asked, one at every fourth look');
  });

  test(title('an answer that lags never takes newer routes back'), async (t) => {
    const all = setup({ near: 2 });
    const started = all.follower.start();
    all.quorum.answer(deltaOf(5));
    await started;
    await until(() => all.controls.asked.length >= 2);
    await pause(5);
    t.is(all.follower.fleet.position.version, 5);
    t.deepEqual(all.routes, [5]);
    all.follower.stop();
  });
});
