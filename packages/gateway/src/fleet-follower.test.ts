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

/** Control processes that reply at once, each with its own version. */
class FakeControls {
  readonly refreshes: string[] = [];
  readonly stateReads: string[] = [];
  private readonly versions: Readonly<Record<string, number>>;

  constructor(versions: Readonly<Record<string, number>>) {
    this.versions = versions;
  }

  get connections(): PeerConnections {
    const ready = Object.entries(this.versions).map(([peerName, version]) => ({
      peerName,
      request: (method: string): Promise<RefreshAnswer | StateAnswer> => {
        const isStateRead = method === 'fleetState';
        (isStateRead ? this.stateReads : this.refreshes).push(peerName);
        if (isStateRead) return Promise.resolve({ delta: deltaOf(version) });
        return Promise.resolve({
          delta: deltaOf(version),
          endpoints: { epoch: peerName, cursor: 1, heartbeats: [HEARTBEAT] },
        });
      },
    }));
    return { ready } as unknown as PeerConnections;
  }
}

/** A quorum whose reply the test controls. */
class FakeQuorum implements GroupCaller {
  reply: (delta: FleetDelta) => void = () => undefined;

  call(): Promise<unknown> {
    return new Promise((resolve) => {
      this.reply = resolve;
    });
  }
}

interface Setup {
  readonly follower: FleetFollower;
  readonly controls: FakeControls;
  readonly quorum: FakeQuorum;
  readonly received: AgedHeartbeat[];
  readonly routes: number[];
}

function setup(versions: Readonly<Record<string, number>>): Setup {
  const controls = new FakeControls(versions);
  const quorum = new FakeQuorum();
  const received: AgedHeartbeat[] = [];
  const routes: number[] = [];
  const follower = new FleetFollower({
    controls: controls.connections,
    caller: quorum,
    isInOwnZone: (control) => control === 'near',
    logger: createLogger({ level: 'silent' }),
    nowMs: () => performance.now(),
    onHeartbeats: (heartbeats) => received.push(...heartbeats),
    onLeaving: () => undefined,
    onCrashes: () => undefined,
    onRoutes: () => routes.push(follower.fleet.position.version),
  });
  return { follower, controls, quorum, received, routes };
}

async function until(what: () => boolean): Promise<void> {
  while (!what()) await pause(5);
}

describe('FleetFollower', () => {
  test(title('receives endpoints, but applies no routes, before the quorum replies'), async (t) => {
    const fixture = setup({ near: 3 });
    const started = fixture.follower.start();
    await until(() => fixture.received.length > 0);
    t.is(fixture.follower.fleet.routes, undefined, 'a single control process may lag');
    fixture.quorum.reply(deltaOf(4));
    await started;
    t.deepEqual(fixture.routes, [4]);
    fixture.follower.stop();
  });

  /**
   * A restarted control process pushes the state from its disk before it has contacted a leader. An
   * entry that starts at the same time must not apply it, since it may be older than acknowledged
   * changes.
   */
  test(title('applies no pushed change before the quorum has replied'), async (t) => {
    const fixture = setup({});
    const started = fixture.follower.start();
    fixture.follower.handleDelta(deltaOf(3), 'starting');
    t.is(fixture.follower.fleet.routes, undefined);
    fixture.quorum.reply(deltaOf(5));
    fixture.follower.handleDelta(deltaOf(6), 'leading');
    await started;
    t.deepEqual(fixture.routes, [5, 6], 'a newer change received in the meantime is applied');
    fixture.follower.handleDelta(deltaOf(7), 'leading');
    t.is(fixture.follower.fleet.position.version, 7);
    fixture.follower.stop();
  });

  /**
   * Changes that are acknowledged while a control process is partitioned are not pushed to its
   * entries. Polling in rotation reaches it after 1.2 s at best: after a partition of four of eight
   * control processes, some entries applied an old configuration for seconds.
   */
  test(title('reads the state from a control process as soon as it is connected'), async (t) => {
    const fixture = setup({ near: 1, far: 2, distant: 3 });
    fixture.follower.onControlConnected('distant');
    t.deepEqual(fixture.controls.stateReads, [], 'the initial read goes through the quorum');
    const started = fixture.follower.start();
    fixture.quorum.reply(deltaOf(1));
    await started;
    fixture.follower.onControlConnected('distant');
    t.deepEqual(fixture.controls.stateReads, ['distant'], 'at once, not in rotation');
    await until(() => fixture.follower.fleet.position.version === 3);
    fixture.follower.stop();
  });

  test(
    title('polls the control process in its zone each time, and the others in rotation'),
    async (t) => {
      const fixture = setup({ first: 1, near: 1, second: 1 });
      const started = fixture.follower.start();
      fixture.quorum.reply(deltaOf(1));
      await started;
      await until(
        () =>
          fixture.controls.refreshes.includes('first') &&
          fixture.controls.refreshes.includes('second'),
      );
      fixture.follower.stop();
      const near = fixture.controls.refreshes.filter((name) => name === 'near').length;
      t.true(near >= 6, 'two others were polled, one at every fourth poll');
    },
  );

  test(title('never replaces newer routes by older ones'), async (t) => {
    const fixture = setup({ near: 2 });
    const started = fixture.follower.start();
    fixture.quorum.reply(deltaOf(5));
    await started;
    await until(() => fixture.controls.refreshes.length >= 2);
    await pause(5);
    t.is(fixture.follower.fleet.position.version, 5);
    t.deepEqual(fixture.routes, [5]);
    fixture.follower.stop();
  });
});
