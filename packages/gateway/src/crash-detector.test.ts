import test from 'ava';
import type { ListeningState } from '@shedline/forwarding';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { CrashDetector } from './crash-detector.js';

const ADDRESS = '10.0.0.1:80';

/** A detector with a scripted result of its port probes. */
class Setup {
  state: ListeningState = 'closed';
  probeCount = 0;
  nowMs = 0;
  readonly leaving = new Set<string>();
  readonly crashed: string[] = [];
  readonly detector = new CrashDetector({
    probe: {
      probe: () => {
        this.probeCount += 1;
        return Promise.resolve(this.state);
      },
    },
    isLeaving: (endpointId) => this.leaving.has(endpointId),
    onCrashed: (endpointId) => this.crashed.push(endpointId),
    logger: createLogger({ level: 'silent' }),
    nowMs: () => this.nowMs,
  });
}

describe('CrashDetector', () => {
  test(title('distinguishes a closed port from a reset connection'), async (t) => {
    const setup = new Setup();
    t.true(await setup.detector.hasCrashed('crashed', ADDRESS));
    setup.state = 'open';
    t.false(await setup.detector.hasCrashed('reset', ADDRESS));
    setup.state = 'silent';
    t.false(await setup.detector.hasCrashed('partitioned', ADDRESS));
    t.deepEqual(setup.crashed, ['crashed']);
  });

  test(title('detects a port that closes shortly after the connections'), async (t) => {
    const setup = new Setup();
    setup.state = 'open';
    setTimeout(() => (setup.state = 'closed'), 5);
    t.true(await setup.detector.hasCrashed('e', ADDRESS));
  });

  test(title('probes once for all responses that break together'), async (t) => {
    const setup = new Setup();
    const results = await Promise.all(
      Array.from({ length: 8 }, () => setup.detector.hasCrashed('e', ADDRESS)),
    );
    t.true(results.every((hasCrashed) => hasCrashed));
    t.true(await setup.detector.hasCrashed('e', ADDRESS), 'a later break');
    t.is(setup.probeCount, 1);
    t.deepEqual(setup.crashed, ['e']);
  });

  test(title('reports no crash of an endpoint that announced that it drains'), async (t) => {
    const setup = new Setup();
    setup.leaving.add('e');
    t.false(await setup.detector.hasCrashed('e', ADDRESS));
    let calls = 0;
    await setup.detector.whenCrashed('e', ADDRESS, () => (calls += 1));
    setup.detector.noteRestart('e');
    t.is(calls, 0);
  });

  // Guards against a crash that goes unnoticed since this process stood still until the endpoint was up again.
  test(title('infers a crash from a new incarnation that was known before'), async (t) => {
    const setup = new Setup();
    setup.state = 'open';
    setup.detector.noteRestart('e');
    setup.leaving.add('left');
    setup.detector.noteRestart('left');
    t.true(await setup.detector.hasCrashed('e', ADDRESS));
    t.false(await setup.detector.hasCrashed('left', ADDRESS));
    t.is(setup.probeCount, 0);
    setup.nowMs = 10_001;
    setup.detector.sweep();
    t.false(await setup.detector.hasCrashed('e', ADDRESS));
  });

  test(title('infers a crash from a new incarnation within ten seconds'), async (t) => {
    const setup = new Setup();
    setup.state = 'silent';
    const reported: string[] = [];
    await setup.detector.whenCrashed('soon', ADDRESS, () => reported.push('soon'));
    await setup.detector.whenCrashed('late', ADDRESS, () => reported.push('late'));
    setup.nowMs = 3000;
    setup.detector.sweep();
    setup.detector.noteRestart('soon');
    setup.detector.noteRestart('soon');
    setup.nowMs = 10_001;
    setup.detector.sweep();
    setup.detector.noteRestart('late');
    t.deepEqual(reported, ['soon']);
  });
});
