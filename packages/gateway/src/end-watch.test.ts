import test from 'ava';
import type { ListeningState } from '@shedline/forwarding';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { EndWatch } from './end-watch.js';

const ADDRESS = '10.0.0.1:80';

/** A watch whose port looks as the test says. */
class Setup {
  state: ListeningState = 'closed';
  looks = 0;
  nowMs = 0;
  readonly leaving = new Set<string>();
  readonly ended: string[] = [];
  readonly watch = new EndWatch({
    probe: {
      look: () => {
        this.looks += 1;
        return Promise.resolve(this.state);
      },
    },
    isLeaving: (endpointId) => this.leaving.has(endpointId),
    onEnded: (endpointId) => this.ended.push(endpointId),
    logger: createLogger({ level: 'silent' }),
    nowMs: () => this.nowMs,
  });
}

describe('EndWatch', () => {
  test(title('tells a closed port from a connection that was reset alone'), async (t) => {
    const setup = new Setup();
    t.true(await setup.watch.hasEnded('ended', ADDRESS));
    setup.state = 'open';
    t.false(await setup.watch.hasEnded('reset', ADDRESS));
    setup.state = 'silent';
    t.false(await setup.watch.hasEnded('cut off', ADDRESS));
    t.deepEqual(setup.ended, ['ended']);
  });

  test(title('looks once for all that broke off together'), async (t) => {
    const setup = new Setup();
    const answers = await Promise.all(
      Array.from({ length: 8 }, () => setup.watch.hasEnded('e', ADDRESS)),
    );
    t.true(answers.every((hasEnded) => hasEnded));
    t.true(await setup.watch.hasEnded('e', ADDRESS), 'a late one');
    t.is(setup.looks, 1);
    t.deepEqual(setup.ended, ['e']);
  });

  test(title('blames nothing for an endpoint that said it leaves'), async (t) => {
    const setup = new Setup();
    setup.leaving.add('e');
    t.false(await setup.watch.hasEnded('e', ADDRESS));
    let told = 0;
    await setup.watch.whenEnded('e', ADDRESS, () => (told += 1));
    setup.watch.hasRestarted('e');
    t.is(told, 0);
  });

  test(title('takes a later run for the end of the one before, for ten seconds'), async (t) => {
    const setup = new Setup();
    setup.state = 'silent';
    const told: string[] = [];
    await setup.watch.whenEnded('soon', ADDRESS, () => told.push('soon'));
    await setup.watch.whenEnded('late', ADDRESS, () => told.push('late'));
    setup.nowMs = 3000;
    setup.watch.sweep();
    setup.watch.hasRestarted('soon');
    setup.watch.hasRestarted('soon');
    setup.nowMs = 10_001;
    setup.watch.sweep();
    setup.watch.hasRestarted('late');
    t.deepEqual(told, ['soon']);
  });
});
