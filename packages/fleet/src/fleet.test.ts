import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { configurationProblem } from './configuration.js';
import type { Configuration, Route } from './configuration.js';
import { EndpointRegistry } from './endpoint-registry.js';
import type { EndpointHeartbeat, RegistryCursor } from './endpoint-registry.js';
import { endpointIdOf, runIdOf } from './endpoint-run.js';
import { FleetState } from './fleet-state.js';
import type { FleetCommand } from './fleet-state.js';
import { KnownDescriptions } from './heartbeat-digest.js';
import { KnownFleet } from './known-fleet.js';
import { RouteTable, chooseService, hostName } from './route-table.js';

function byEndpointId(a: EndpointHeartbeat, b: EndpointHeartbeat): number {
  return a.endpointId < b.endpointId ? -1 : 1;
}

function route(change: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'h.example',
    pathPrefix: '/a/',
    kind: 'stream',
    targets: [{ service: 's', weight: 1 }],
    timeLimitMs: 5000,
    targetMs: 300,
    rank: 0,
    maxAttempts: 1,
    isResumable: false,
    longestPauseMs: 200,
    ...change,
  };
}

function configuration(version: number, routes: readonly Route[] = [route()]): Configuration {
  return {
    version,
    routes,
    services: [{ name: 's', healthPath: '/', maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

function put(version: number, document = `document ${version}`): FleetCommand {
  return { type: 'putConfiguration', configuration: configuration(version), document };
}

describe('configuration', () => {
  test(title('is rejected for an unknown service, duplicate prefix, zero weight or time'), (t) => {
    t.is(configurationProblem(configuration(1)), undefined);
    const invalid: Partial<Route>[] = [
      { targets: [{ service: 'other', weight: 1 }] },
      { targets: [{ service: 's', weight: 0 }] },
      { targets: [] },
      { timeLimitMs: 0 },
      { pathPrefix: '/a' },
    ];
    for (const change of invalid) {
      t.regex(configurationProblem(configuration(1, [route(change)])) ?? '', /^route r: /);
    }
    const shared = configuration(1, [route(), route({ name: 'other' })]);
    t.regex(configurationProblem(shared) ?? '', /same host and prefix/);
  });
});

describe('routes', () => {
  test(title('the longest prefix of the host wins'), (t) => {
    const routes = [
      route({ name: 'short' }),
      route({ name: 'long', pathPrefix: '/a/b/' }),
      route({ name: 'elsewhere', host: 'other.example' }),
    ];
    const table = new RouteTable(configuration(1, routes));
    t.is(table.find('h.example', '/a/b/c')?.name, 'long');
    t.is(table.find('H.example:80', '/a/c')?.name, 'short');
    t.is(table.find('other.example', '/a/b/c')?.name, 'elsewhere');
    t.is(table.find('h.example', '/b/'), undefined);
    t.is(hostName('Name.Example:8080'), 'name.example');
  });

  test(title('a service with weight 0 is never chosen'), (t) => {
    const targets = fc.array(fc.record({ service: fc.string(), weight: fc.nat(5) }), {
      minLength: 1,
    });
    fc.assert(
      fc.property(
        targets,
        fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
        (all, random) => {
          fc.pre(all.some(({ weight }) => weight > 0));
          const chosen = chooseService(route({ targets: all }), random);
          return all.some(({ service, weight }) => service === chosen && weight > 0);
        },
      ),
      { seed: 3 },
    );
    t.pass();
  });
});

describe('fleet state', () => {
  const command = fc.oneof(
    fc.nat(9).map((version) => put(version)),
    fc.nat(9).map((id): FleetCommand => ({ type: 'recordLeave', endpointId: `e${id}` })),
  );

  test(title('the highest version stays in force, with the document that was put first'), (t) => {
    fc.assert(
      fc.property(fc.array(command, { maxLength: 50 }), (commands) => {
        const state = new FleetState();
        let highest = -1;
        for (const [index, next] of commands.entries()) {
          const sent = next.type === 'putConfiguration' ? { ...next, document: `${index}` } : next;
          const before = state.configurationDocument;
          state.apply(sent);
          const isNewer = sent.type === 'putConfiguration' && sent.configuration.version > highest;
          if (sent.type === 'putConfiguration' && isNewer) {
            highest = sent.configuration.version;
            if (state.configurationDocument !== `${index}`) return false;
          } else if (state.configurationDocument !== before) return false;
          if (state.position.version !== highest) return false;
        }
        return true;
      }),
      { seed: 4 },
    );
    t.pass();
  });

  test(title('a reader that polls occasionally learns the whole state, and never reverts'), (t) => {
    const steps = fc.array(fc.record({ command, reads: fc.boolean() }), { maxLength: 50 });
    fc.assert(
      fc.property(steps, (all) => {
        const state = new FleetState();
        const known = new KnownFleet();
        let stale = state.deltaSince(known.position);
        for (const { command: next, reads } of all) {
          state.apply(next);
          if (!reads) continue;
          known.applyDelta(state.deltaSince(known.position));
          const before = known.position;
          // An outdated reply that arrives late changes nothing.
          known.applyDelta(stale);
          if (known.position.version !== before.version) return false;
          if (known.position.leaveCount !== before.leaveCount) return false;
          stale = state.deltaSince({ version: -1, leaveCount: 0 });
        }
        known.applyDelta(state.deltaSince(known.position));
        const ids = Array.from({ length: 10 }, (_, id) => `e${id}`);
        return (
          known.position.version === state.position.version &&
          ids.every(
            (id) => known.isLeaving(id) === state.isLeaving({ endpointId: id, startedAtMs: 0 }),
          )
        );
      }),
      { seed: 5 },
    );
    t.pass();
  });

  test(title('a reader that missed a push requests the missed changes'), (t) => {
    const state = new FleetState();
    const known = new KnownFleet();
    known.applyDelta(state.deltaSince(known.position));
    state.apply({ type: 'recordLeave', endpointId: 'missed' });
    const crashed = [{ contentKey: 'missed', knownCrashes: 0 }];
    state.apply({ type: 'recordCrashes', crashed, survived: [] });
    const pushed = state.position;
    state.apply({ type: 'recordLeave', endpointId: 'received' });
    state.apply({ type: 'recordCrashes', crashed: [], survived: ['missed'] });
    const second = state.deltaSince(pushed);
    known.applyDelta(second);
    t.true(known.isLeaving('received'));
    const reply = state.deltaSince(known.position);
    t.deepEqual(
      reply.crashes?.records.map(({ contentKey }) => contentKey),
      ['missed'],
    );
    known.applyDelta(reply);
    t.true(known.isLeaving('missed'));
    t.deepEqual(known.position, state.position);
  });

  test(title('a snapshot contains the whole state'), (t) => {
    const state = new FleetState();
    const cluster = { clusterId: 'c', initialMembers: ['a'], jobGroupCount: 4, voterCount: 3 };
    for (const next of [put(3), { type: 'recordLeave', endpointId: 'e' } as const])
      state.apply(next);
    state.apply({ type: 'formStores', cluster });
    state.apply({ type: 'retireStore', store: 'store', instance: 'instance' });
    state.apply({ type: 'formStores', cluster: { ...cluster, clusterId: 'later' } });
    const crashed = [{ contentKey: 'c', knownCrashes: 1 }];
    state.apply({ type: 'recordCrashes', crashed, survived: [] });
    const copy = new FleetState();
    copy.restore(state.toData());
    t.deepEqual(copy.position, { version: 3, leaveCount: 1, crashNumber: 1 });
    t.is(copy.configurationDocument, 'document 3');
    t.is(copy.storeCluster?.clusterId, 'c');
    t.true(copy.isLeaving({ endpointId: 'e', startedAtMs: 0 }));
    t.true(copy.isRetiring('store'));
    t.is(copy.retiringStoreOf('instance'), 'store');
    t.is(copy.retiringStoreOf('other'), undefined);
    const { crashes } = copy.deltaSince({ version: 3, leaveCount: 1, crashNumber: 0 });
    t.like(crashes?.records[0], { contentKey: 'c', crashes: 2 });
  });
});

describe('incarnations of an endpoint', () => {
  test(title('have ids that are unique and contain the endpoint id'), (t) => {
    const run = fc.record({
      endpointId: fc.string({ unit: fc.constantFrom('a', '#', '0', '1'), maxLength: 4 }),
      startedAtMs: fc.nat(3),
    });
    fc.assert(
      fc.property(run, run, (a, b) => {
        const isSame = a.endpointId === b.endpointId && a.startedAtMs === b.startedAtMs;
        return endpointIdOf(runIdOf(a)) === a.endpointId && isSame === (runIdOf(a) === runIdOf(b));
      }),
      { seed: 6, numRuns: 2000 },
    );
    t.pass();
  });

  test(title('a draining incarnation does not exclude the next incarnation'), (t) => {
    const state = new FleetState();
    state.apply({ type: 'recordLeave', endpointId: 'e', startedAtMs: 1000 });
    // Written by a version that did not record start times.
    state.apply({ type: 'recordLeave', endpointId: 'e' });
    const copy = new FleetState();
    copy.restore(state.toData());
    const known = new KnownFleet();
    known.applyDelta(copy.deltaSince(known.position));
    for (const startedAtMs of [0, 1000]) {
      t.true(copy.isLeaving({ endpointId: 'e', startedAtMs }));
      t.true(known.isLeaving(runIdOf({ endpointId: 'e', startedAtMs })));
    }
    t.false(copy.isLeaving({ endpointId: 'e', startedAtMs: 2000 }));
    t.false(known.isLeaving(runIdOf({ endpointId: 'e', startedAtMs: 2000 })));
  });
});

describe('endpoint registry', () => {
  const heartbeat = (sequence: number, startedAtMs = 0) => ({
    endpointId: 'e',
    startedAtMs,
    service: 's',
    address: 'a:1',
    availabilityZone: 'z',
    slots: 8,
    warmUpLeftMs: 0,
    sequence,
  });

  test(title('returns the changes since a cursor, and all heartbeats for another epoch'), (t) => {
    const registry = new EndpointRegistry('epoch');
    t.true(registry.record(heartbeat(2), 0, 100));
    t.false(registry.record(heartbeat(1), 0, 200));
    const first = registry.since('', 0, 300);
    t.is(first.heartbeats[0]?.ageMs, 200);
    t.is(registry.since('epoch', first.cursor, 300).heartbeats.length, 0);
    t.is(registry.since('other', first.cursor, 300).heartbeats.length, 1);
    registry.forgetExpired(60_000);
    t.is(registry.since('', 0, 60_000).heartbeats.length, 0);
  });

  test(title('returns pages in the order of the changes, each change once'), (t) => {
    const registry = new EndpointRegistry('epoch');
    const named = (endpointId: string, sequence: number) => ({
      ...heartbeat(sequence),
      endpointId,
    });
    for (const id of ['a', 'b', 'c']) registry.record(named(id, 1), 0, 100);
    const first = registry.since('', 0, 100, 2);
    t.deepEqual(
      first.heartbeats.map((aged) => aged.heartbeat.endpointId),
      ['a', 'b'],
    );
    t.true(first.hasMore);
    registry.record(named('a', 2), 0, 150);
    const second = registry.since('epoch', first.cursor, 150, 2);
    t.deepEqual(
      second.heartbeats.map((aged) => [aged.heartbeat.endpointId, aged.heartbeat.sequence]),
      [
        ['c', 1],
        ['a', 2],
      ],
    );
    t.false(second.hasMore);
  });

  test(title('a digest and its description stand for the same heartbeat'), (t) => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(3), fc.nat(2), fc.nat(20), fc.nat(2)), { maxLength: 30 }),
        (steps) => {
          const registry = new EndpointRegistry('epoch');
          const known = new KnownDescriptions();
          let cursor: RegistryCursor = { epoch: '', cursor: 0 };
          const read = new Map<string, EndpointHeartbeat>();
          for (const [id, startedAtMs, sequence, warmUpLeftMs] of steps) {
            const endpointId = `e${id}`;
            registry.record(
              { ...heartbeat(sequence, startedAtMs), endpointId, warmUpLeftMs },
              0,
              5,
            );
            const delta = registry.digestsSince(cursor, 7, 2);
            cursor = delta;
            const { heartbeats, unknownFingerprints } = known.resolve(delta.digests, 7);
            const described = registry.withFingerprints(unknownFingerprints, 7);
            known.learn(described, 7);
            for (const aged of [...heartbeats, ...described]) {
              read.set(aged.heartbeat.endpointId, aged.heartbeat);
            }
            const expected = registry.since('', 0, 7).heartbeats.map((aged) => aged.heartbeat);
            t.deepEqual(
              [...read.values()].sort(byEndpointId),
              expected.sort(byEndpointId),
              'the reader is up to date',
            );
          }
        },
      ),
    );
  });

  test(title('rejects heartbeats of an incarnation after those of a newer one'), (t) => {
    const registry = new EndpointRegistry('epoch');
    t.true(registry.record(heartbeat(40, 1000), 0, 100));
    t.true(registry.record(heartbeat(1, 2000), 0, 200));
    t.false(registry.record(heartbeat(41, 1000), 0, 300));
    t.false(registry.record(heartbeat(99), 0, 300), 'a heartbeat without a start time');
    t.true(registry.record(heartbeat(2, 2000), 0, 400));
    t.is(registry.runOf('e')?.startedAtMs, 2000);
    t.is(registry.since('', 0, 400).heartbeats.length, 1);
  });
});
