import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { GroupCaller } from '@shedline/control-client';
import type { AgedHeartbeat, FleetDelta } from '@shedline/fleet';
import type { RefreshAnswer, StateAnswer } from '@shedline/fleet-control';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import type { PeerConnections } from '@shedline/transport';
import { FleetFollower } from './fleet-follower.js';
import { PeriodicTasks, TICK_INTERVAL_MS } from './periodic-tasks.js';

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
  /** Control processes that receive requests and never reply. */
  readonly silent = new Set<string>();
  versions: Readonly<Record<string, number>>;

  constructor(versions: Readonly<Record<string, number>>) {
    this.versions = versions;
  }

  get connections(): PeerConnections {
    const ready = Object.keys(this.versions).map((peerName) => ({
      peerName,
      request: (method: string): Promise<RefreshAnswer | StateAnswer> => {
        const version = this.versions[peerName] ?? 0;
        if (this.silent.has(peerName)) return pause(700).then(() => Promise.reject(new Error()));
        const isStateRead = method === 'fleetState';
        (isStateRead ? this.stateReads : this.refreshes).push(peerName);
        if (isStateRead) return Promise.resolve({ delta: deltaOf(version) });
        return Promise.resolve({
          delta: deltaOf(version),
          confirmedAgeMs: 0,
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
  const tasks = new PeriodicTasks();
  setInterval(() => {
    tasks.tick();
  }, TICK_INTERVAL_MS).unref();
  const follower = new FleetFollower({
    tasks,
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

/** Starts the follower with the state of a quorum. */
async function startAt({ follower, quorum }: Setup, version: number): Promise<void> {
  const started = follower.start();
  quorum.reply(deltaOf(version));
  await started;
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

  test(title('polls the control process in its zone and the others in alternation'), async (t) => {
    const fixture = setup({ first: 1, near: 1, second: 1 });
    await startAt(fixture, 1);
    // The discovery of endpoints polls at shorter intervals and is not examined.
    await pause(100);
    fixture.controls.refreshes.length = 0;
    await until(() => fixture.controls.refreshes.length >= 4);
    fixture.follower.stop();
    const { refreshes } = fixture.controls;
    t.is(refreshes.filter((name) => name === 'near').length, 2);
    t.not(refreshes[0], refreshes[1]);
    const others = refreshes.filter((name) => name !== 'near');
    t.deepEqual(others.sort(), ['first', 'second'], 'in rotation');
  });

  /** Number of polls, one every 500 ms, within the 2 s that operators allow for a change. */
  const MAX_POLLS = 4;
  /** No push arrives in these tests: the polls alone have to find the change. */
  for (const { fault, versions, silent } of [
    { fault: 'the push is lost', versions: { near: 2, far: 2 }, silent: [] },
    { fault: 'the control process is silent', versions: { near: 2, far: 2 }, silent: ['near'] },
    { fault: 'the control process is partitioned', versions: { near: 1, far: 2 }, silent: [] },
  ]) {
    test(title(`has a change in force within four polls if ${fault}`), async (t) => {
      const fixture = setup({ near: 1, far: 1 });
      await startAt(fixture, 1);
      // The next poll goes to the control process with the fault.
      await pause(100);
      fixture.controls.refreshes.length = 0;
      await until(() => fixture.controls.refreshes.slice(-2).join() === 'near,far');
      await pause(5);
      fixture.controls.versions = versions;
      for (const name of silent) fixture.controls.silent.add(name);
      fixture.controls.refreshes.length = 0;
      await until(() => fixture.follower.fleet.position.version === 2);
      t.true(fixture.controls.refreshes.length <= MAX_POLLS);
      fixture.follower.stop();
    });
  }

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
