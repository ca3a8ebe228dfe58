import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { completeTextOf, eventCountOf, eventDataOf } from './expected-response.js';
import { PromiseChecker } from './promise-checker.js';

function createChecker(isUndisturbed = true): PromiseChecker {
  return new PromiseChecker({ isUndisturbed: () => isUndisturbed });
}

/** Returns the text of events `from` to `to`, of the last one if omitted, written by one version. */
function textOf(id: string, version: string, from = 1, to = eventCountOf(id)): string {
  const numbers = Array.from({ length: to - from + 1 }, (_, index) => from + index);
  return numbers.map((number) => eventDataOf(id, number, version)).join('\n');
}

function promises(checker: PromiseChecker): string[] {
  return checker.finish(99_999).map(({ promise }) => promise);
}

describe('PromiseChecker', () => {
  test(title('reports nothing if all promises are kept'), (t) => {
    const checker = createChecker();
    checker.requestSent('q', { entry: 'entry-1', kind: 'once', atMs: 0 });
    checker.requestRan('q', 'e', 1);
    checker.requestEnded('q', { kind: 'complete', text: completeTextOf('q') }, 2);
    checker.jobSubmitted('j', ['i']);
    checker.jobAccepted('j', ['i']);
    checker.requestRan('i', 'e', 3);
    checker.resultListed('j', 0, { itemId: 'i', state: 'complete', text: completeTextOf('i') }, 4);
    checker.resultListed('j', 0, { itemId: 'i', state: 'complete', text: completeTextOf('i') }, 5);
    checker.configurationAcknowledged(3, 0);
    checker.configurationRead(3, 'three', 10);
    t.deepEqual(promises(checker), []);
  });

  test(title('reports a request that ran twice, or ran although it was refused'), (t) => {
    const checker = createChecker();
    checker.requestSent('q', { entry: 'entry-1', kind: 'once', atMs: 0 });
    checker.requestRan('q', 'e', 1);
    checker.requestRan('q', 'f', 2);
    checker.requestSent('r', { entry: 'entry-1', kind: 'repeatable', atMs: 0 });
    checker.requestRan('r', 'e', 1);
    checker.requestEnded('r', { kind: 'refused', status: 503 }, 2);
    t.deepEqual(promises(checker), ['at most one run', 'refused requests did not run']);
  });

  test(title('reports responses that are truncated or belong to other requests'), (t) => {
    const checker = createChecker();
    checker.requestSent('q', { entry: 'entry-1', kind: 'resumable', atMs: 0 });
    checker.requestEnded('q', { kind: 'complete', text: completeTextOf('other') }, 2);
    t.deepEqual(promises(checker), ['whole own answers']);
  });

  test(title('reports events of two software versions in a response or a text'), (t) => {
    const checker = createChecker();
    checker.requestSent('q', { entry: 'entry-1', kind: 'resumable', atMs: 0 });
    const text = `${textOf('q', 'v1', 1, 1)}\n${textOf('q', 'v2', 2)}`;
    checker.requestEnded('q', { kind: 'complete', text }, 2);
    checker.jobSubmitted('j', ['i']);
    checker.jobAccepted('j', ['i']);
    const item = `${textOf('i', 'v2', 1, 1)}\n${textOf('i', 'v1', 2)}`;
    checker.resultListed('j', 0, { itemId: 'i', state: 'complete', text: item }, 4);
    const broken = 'a stream has one software version';
    t.deepEqual(promises(checker), [broken, broken]);
  });

  describe('a stream that its caller continues', () => {
    const continues = { requestId: 'q', text: textOf('q', 'v1', 1, 2) };

    function continued(text: string, kind: 'complete' | 'left' = 'complete'): string[] {
      const checker = createChecker();
      checker.requestSent('q', { entry: 'entry-1', kind: 'resumable', atMs: 0 });
      checker.requestEnded('q', { kind: 'left', text: continues.text }, 1);
      checker.requestSent('q-2', { entry: 'entry-2', kind: 'resumable', atMs: 2, continues });
      checker.requestEnded('q-2', { kind, text }, 3);
      return promises(checker);
    }

    test(title('is whole over its attempts'), (t) => {
      t.deepEqual(continued(textOf('q', 'v1', 3)), []);
      t.deepEqual(continued(textOf('q', 'v1', 2)), ['whole own answers']);
    });

    test(title('is reported if another software version continues it, also in part'), (t) => {
      const broken = ['a stream has one software version'];
      t.deepEqual(continued(textOf('q', 'v2', 3)), broken);
      t.deepEqual(continued(textOf('q', 'v2', 3, 3), 'left'), broken);
    });
  });

  test(
    title('reports a broken response only without faults, and only if an endpoint ran the request'),
    (t) => {
      for (const [isUndisturbed, hasRun, breaks] of [
        [true, true, 1],
        [false, true, 0],
        [true, false, 0],
      ] as const) {
        const checker = createChecker(isUndisturbed);
        checker.requestSent('q', { entry: 'entry-1', kind: 'once', atMs: 0 });
        if (hasRun) checker.requestRan('q', 'e', 1);
        checker.requestEnded('q', { kind: 'cut', reason: 'reset', text: '' }, 2);
        t.is(promises(checker).length, breaks);
      }
    },
  );

  test(title('reports configurations that revert or change without a new version'), (t) => {
    const checker = createChecker();
    checker.configurationAcknowledged(5, 100);
    checker.configurationRead(4, 'four', 50);
    checker.configurationRead(4, 'four', 150);
    checker.configurationRead(5, 'five', 160);
    checker.configurationRead(5, 'other five', 170);
    t.deepEqual(promises(checker), ['configurations never revert', 'one content a version']);
  });

  test(title('reports an entry that goes back to an older configuration'), (t) => {
    const checker = createChecker();
    checker.configurationAcknowledged(3, 10);
    checker.configurationAcknowledged(5, 20);
    t.is(checker.newestAcknowledgedConfiguration, 5);
    checker.configurationChecked({ entry: 'e', version: 5, isApplied: false }, 30);
    checker.configurationChecked({ entry: 'e', version: 3, isApplied: true }, 40);
    checker.configurationChecked({ entry: 'e', version: 5, isApplied: false }, 50);
    t.deepEqual(promises(checker), [], 'it may not have received the newest one yet');
    checker.configurationChecked({ entry: 'e', version: 3, isApplied: false }, 60);
    t.deepEqual(promises(checker), ['configurations never revert']);
  });

  test(title('reports results that are lost, moved, duplicated or wrong'), (t) => {
    const checker = createChecker();
    checker.jobSubmitted('j', ['a', 'b', 'c']);
    checker.jobAccepted('j', ['a', 'b', 'c']);
    checker.resultListed('j', 0, { itemId: 'a', state: 'complete', text: completeTextOf('a') }, 1);
    checker.resultListed('j', 0, { itemId: 'b', state: 'complete', text: completeTextOf('b') }, 2);
    checker.resultListed('j', 1, { itemId: 'a', state: 'complete', text: completeTextOf('a') }, 3);
    checker.resultListed('j', 2, { itemId: 'b', state: 'complete', text: 'half' }, 4);
    checker.jobMissing('j', 5);
    t.deepEqual(promises(checker), [
      'results keep position and content',
      'an item is listed once',
      'results are whole',
      'accepted jobs stay readable',
    ]);
  });

  test(title('reports accepted jobs that never complete'), (t) => {
    const checker = createChecker();
    checker.jobSubmitted('j', ['a']);
    checker.jobAccepted('j', ['a']);
    t.deepEqual(promises(checker), ['accepted items complete']);
  });

  // In seed 812 a cancellation was committed, and all processes were killed before it was
  // acknowledged.
  test(title('requires no results of a job after its cancellation was requested'), (t) => {
    const checker = createChecker();
    checker.jobSubmitted('j', ['a']);
    checker.jobAccepted('j', ['a']);
    checker.jobCancelRequested('j');
    t.deepEqual(checker.incompleteJobs(), []);
    t.deepEqual(promises(checker), []);
  });

  test(
    title('reports runs for cancelled jobs, at endpoints that left, and of unknown requests'),
    (t) => {
      const checker = createChecker();
      checker.jobSubmitted('j', ['a']);
      checker.jobAccepted('j', ['a']);
      checker.jobCancelled('j', 0);
      checker.requestRan('a', 'e', 2900);
      checker.requestRan('a', 'e', 3100);
      checker.endpointLeft('f', 0);
      checker.requestSent('q', { entry: 'entry-1', kind: 'repeatable', atMs: 0 });
      checker.requestRan('q', 'f', 2400);
      checker.requestRan('q', 'f', 2600);
      checker.requestRan('unknown', 'e', 0);
      t.deepEqual(promises(checker), [
        'ended jobs stop',
        'leaving endpoints get no work',
        'only what was asked for runs',
      ]);
    },
  );

  test(title('reports content that keeps crashing endpoints, but only without faults'), (t) => {
    const withRunsAfterThreeCrashes = (checker: PromiseChecker, runs: number): PromiseChecker => {
      for (const atMs of [0, 100, 200]) checker.endpointCrashed('c', atMs);
      for (let run = 0; run < runs; run += 1) {
        checker.requestSent(`q${run}`, {
          entry: 'entry-1',
          kind: 'once',
          atMs: 3200 + run,
          crashingContent: 'c',
        });
        checker.requestRan(`q${run}`, 'e', 3201 + run);
      }
      return checker;
    };
    t.deepEqual(promises(withRunsAfterThreeCrashes(createChecker(), 3)), []);
    t.deepEqual(promises(withRunsAfterThreeCrashes(createChecker(), 9)), [
      'what ends endpoints is held back',
    ]);
    t.deepEqual(promises(withRunsAfterThreeCrashes(createChecker(false), 9)), []);
  });

  test(title('reports a part of prompts after its fifth crash, but no items with it'), (t) => {
    const withRuns = (runs: number): PromiseChecker => {
      const checker = createChecker();
      for (const atMs of [0, 100, 200, 300, 400]) checker.endpointCrashed('bad1', atMs);
      checker.jobSubmitted('job', ['part-bad1-item']);
      checker.requestRan('part-bad1-item', 'e', 3300);
      for (let run = 0; run < runs; run += 1) {
        const request = { entry: 'entry-1', kind: 'once', crashingContent: 'bad1' } as const;
        checker.requestSent(`q${run}`, { ...request, atMs: 3300 + run });
        checker.requestRan(`q${run}`, 'e', 3300 + run);
      }
      return checker;
    };
    t.deepEqual(promises(withRuns(100)), []);
    t.deepEqual(promises(withRuns(106)), ['what ends endpoints is held back']);
  });

  test(title('reports an item that is given up for a part which crashes endpoints'), (t) => {
    const checker = createChecker();
    checker.jobSubmitted('job', ['part-bad1-item']);
    checker.jobAccepted('job', ['part-bad1-item']);
    const text = 'given up: 3 endpoints ended while they ran it';
    const result = { itemId: 'part-bad1-item', state: 'errored' as const, text };
    checker.resultListed('job', 0, result, 100);
    t.deepEqual(promises(checker), ['results are whole']);
  });

  test(title('reports a cut response unless it had reached its time limit'), (t) => {
    const withCutAt = (atMs: number): PromiseChecker => {
      const checker = createChecker();
      checker.requestSent('q', { entry: 'entry-1', kind: 'once', atMs: 0, limitMs: 4000 });
      checker.requestRan('q', 'e', 1);
      checker.requestEnded('q', { kind: 'cut', reason: 'reset', text: '' }, atMs);
      return checker;
    };
    t.deepEqual(promises(withCutAt(3999)), ['nothing is cut in calm']);
    t.deepEqual(promises(withCutAt(4000)), []);
  });

  test(title('does not report a broken request whose endpoint was crashed by a content'), (t) => {
    const checker = createChecker();
    checker.requestSent('q', { entry: 'entry-1', kind: 'once', atMs: 0 });
    checker.requestRan('q', 'e', 1);
    checker.endpointCrashed('c', 50);
    checker.requestEnded('q', { kind: 'failed', status: 502 }, 51);
    t.deepEqual(promises(checker), []);
  });
});
