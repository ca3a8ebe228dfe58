import test from 'ava';
import { FleetState, KnownFleet } from '@shedline/fleet';
import type { Configuration, Route } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import { describe, title } from '@shedline/test-utils';
import { ApiKeyAuthenticator } from './api-key-authenticator.js';
import { JobAccess } from './job-access.js';

function jobRoute(host: string): Route {
  return {
    name: 'jobs',
    host,
    pathPrefix: '/jobs/',
    kind: 'jobs',
    targets: [],
    timeLimitMs: 1000,
    targetMs: 300,
    rank: 0,
    maxAttempts: 1,
    isResumable: false,
    longestPauseMs: 200,
  };
}

function configuration(version: number, hosts: readonly string[]): Configuration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: hosts.map(jobRoute), services: [], limits };
}

/** A fleet whose configurations have batch routes of these hosts, in order of their versions. */
function stateOf(...configurations: readonly (readonly string[])[]): FleetState {
  const state = new FleetState();
  for (const [index, hosts] of configurations.entries())
    state.apply({
      type: 'putConfiguration',
      configuration: configuration(index, hosts),
      document: '',
    });
  return state;
}

/** Reads the whole state, like an entry that has just started. */
function readOf(state: FleetState): KnownFleet {
  const fleet = new KnownFleet();
  fleet.applyDelta(state.deltaSince(fleet.position));
  return fleet;
}

function accessOf(fleet: KnownFleet, { isStateFresh = true } = {}): JobAccess {
  const authenticator = new ApiKeyAuthenticator({
    controlSilenceMs: () => 0,
    metrics: new ProcessMetrics(),
    logger: createLogger({ level: 'silent' }),
  });
  return new JobAccess({ fleet, authenticator, isStateFresh: () => isStateFresh });
}

describe('JobAccess', () => {
  test(title('knows the hosts of earlier configurations that it never applied'), (t) => {
    const access = accessOf(readOf(stateOf(['a'], ['b'], ['c'])));
    t.deepEqual(
      ['a', 'B:80', 'c', 'd'].map((host) => access.scopeOf(host)),
      ['former', 'former', 'current', 'none'],
    );
  });

  test(title('knows them from a snapshot'), (t) => {
    const restored = new FleetState();
    restored.restore(stateOf(['a'], []).toData());
    t.is(accessOf(readOf(restored)).scopeOf('a'), 'former');
  });

  test(
    title('knows those that it applied if a control process of an earlier version omits them'),
    (t) => {
      const fleet = new KnownFleet();
      for (const state of [stateOf(['a']), stateOf(['a'], [])]) {
        const { since, position, configuration: newer } = state.deltaSince(fleet.position);
        const changes = { leaving: [], retiringStores: [] };
        if (since !== undefined && newer !== undefined)
          fleet.applyDelta({ since, position, configuration: newer, ...changes });
      }
      t.is(accessOf(fleet).scopeOf('a'), 'former');
    },
  );

  test(title('does not rule out jobs of a host while its state is not confirmed'), (t) => {
    const fleet = readOf(stateOf(['a'], []));
    const access = accessOf(fleet, { isStateFresh: false });
    t.is(access.scopeOf('b'), 'uncertain');
    t.is(access.scopeOf('a'), 'former');
  });

  test(title('keeps the hosts of the newest configurations'), (t) => {
    const hosts = Array.from({ length: 1001 }, (_, index) => `h${index}`);
    const fleet = readOf(stateOf(...hosts.map((host) => [host]), ['h0']));
    const access = accessOf(fleet);
    t.deepEqual(
      ['h0', 'h1', 'h2'].map((host) => access.scopeOf(host)),
      ['current', 'none', 'former'],
    );
  });
});
