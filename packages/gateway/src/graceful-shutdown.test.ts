import test from 'ava';
import { OpenCalls } from '@shedline/draining';
import { describe, title } from '@shedline/test-utils';
import { GracefulShutdown } from './graceful-shutdown.js';

/** A shutdown on a clock that the test moves; its calls end when the test says so. */
class Setup {
  nowMs = 0;
  readonly openCalls = new OpenCalls();
  readonly shutdown: GracefulShutdown;

  constructor({ stopWithinMs = 8000, addressKeepMs = 5000 } = {}) {
    const { openCalls } = this;
    const nowMs = (): number => this.nowMs;
    this.shutdown = new GracefulShutdown({ nowMs, stopWithinMs, addressKeepMs, openCalls });
  }
}

describe('GracefulShutdown', () => {
  test(title('begins any call while the process is not to stop'), (t) => {
    const { shutdown } = new Setup();
    t.true(shutdown.mayBegin(1e9));
    t.is(shutdown.waitLimitMs, Infinity);
  });

  test(title('begins the calls that can end before the close, and no others'), (t) => {
    const setup = new Setup();
    const { shutdown } = setup;
    void shutdown.run(Promise.resolve());
    t.true(shutdown.mayBegin(7500));
    setup.nowMs = 3800;
    t.true(shutdown.mayBegin(1200));
    t.false(shutdown.mayBegin(4000), 'ends 0.3 s after the close');
    setup.nowMs = 6000;
    t.true(shutdown.mayBegin(1200), 'short calls begin until late');
  });

  test(title('lets calls wait until shortly before the close, or until addresses expire'), (t) => {
    const setup = new Setup({ addressKeepMs: 7400 });
    void setup.shutdown.run(Promise.resolve());
    setup.nowMs = 6500;
    t.is(setup.shutdown.waitLimitMs, 800);
    setup.nowMs = 7400;
    t.is(setup.shutdown.waitLimitMs, 0);
  });

  // Guards against an exit that waits for some kinds of calls only.
  test(title('ends after the last call of any kind, and refuses later ones'), async (t) => {
    const { shutdown, openCalls } = new Setup({ addressKeepMs: 0 });
    const call = openCalls.begin('results');
    let isOver = false;
    const over = shutdown.run(Promise.resolve()).then(() => {
      isOver = true;
    });
    await new Promise((resolve) => setTimeout(resolve, 20));
    t.false(isOver);
    t.true(shutdown.mayBegin(0));
    call.end();
    await over;
    t.true(shutdown.isClosing);
    t.false(shutdown.mayBegin(0));
  });

  test(title('lets open calls give their last answers when no time is left'), async (t) => {
    const { shutdown, openCalls } = new Setup({ stopWithinMs: 520, addressKeepMs: 0 });
    const answered: string[] = [];
    for (const kind of ['results', 'request']) {
      const call = openCalls.begin(kind);
      const removeListener = shutdown.onClosing(() => {
        answered.push(kind);
        call.end();
      });
      if (kind === 'request') removeListener();
    }
    await shutdown.run(new Promise(() => undefined));
    t.deepEqual(answered, ['results'], 'a removed listener is not called');
    t.is(openCalls.count, 1, 'what does not answer is cut');
  });
});
