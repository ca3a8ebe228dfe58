import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { GroupCaller } from '@shedline/control-client';
import { FleetState } from '@shedline/fleet';
import type { FleetCommand, FleetPosition } from '@shedline/fleet';
import type { BrokenSend } from '@shedline/forwarding';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { CrashGuard } from './crash-guard.js';
import { CrashReporter } from './crash-reporter.js';

const START: FleetPosition = { version: -1, leaveCount: 0, crashNumber: 0 };
const HOUR_MS = 3_600_000;
/** Longer than the pause between two attempts of a report. */
const SOME_ATTEMPTS_MS = 300;

/** A fleet group with one member, which can be unreachable. */
class FakeFleet implements GroupCaller {
  readonly state = new FleetState();
  isReachable = true;
  commands = 0;

  call(_method: string, _group: number, payload: unknown): Promise<unknown> {
    if (!this.isReachable) return Promise.reject(new Error('no leader'));
    this.commands += 1;
    return Promise.resolve(this.state.apply(payload as FleetCommand));
  }
}

/** An entry for which each broken response counts as a crash of the endpoint. */
class Entry {
  nowMs = 0;
  readonly guard: CrashGuard;
  private position = START;

  constructor(fleet: FakeFleet) {
    const logger = createLogger({ level: 'silent' });
    const nowMs = (): number => this.nowMs;
    this.guard = new CrashGuard({
      crashDetector: {
        whenCrashed: (_endpointId, _address, then) => {
          then();
          return Promise.resolve();
        },
      },
      reporter: new CrashReporter({ fleet, logger, nowMs }),
      logger,
      nowMs,
    });
  }

  follow({ state }: FakeFleet): void {
    const { crashes, position } = state.deltaSince(this.position);
    this.position = position;
    if (crashes !== undefined) this.guard.applyChanges(crashes, 'control');
  }

  /** Simulates a crash of an endpoint while it processes a request with these features. */
  crash(featureKeys: string | readonly string[], hasBegun = false, endpointId = nextId()): void {
    const features = [featureKeys].flat().map((featureKey) => {
      return { featureKey, knownCrashes: this.guard.crashCountOf(featureKey) };
    });
    const send: BrokenSend = { endpointId, address: 'a:1', requestId: 'r', features, hasBegun };
    this.guard.noteBrokenSend(send);
  }
}

let endpointCount = 0;

/** Returns the id of an endpoint that has not crashed before. */
function nextId(): string {
  endpointCount += 1;
  return `e${endpointCount}`;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

describe('CrashGuard', () => {
  test(
    title('all entries quarantine content that crashed one endpoint at each of two entries'),
    async (t) => {
      const fleet = new FakeFleet();
      const [first, second, third] = [new Entry(fleet), new Entry(fleet), new Entry(fleet)];
      t.true(first.guard.isIdle);
      first.crash('bad');
      await until(() => fleet.commands === 1);
      for (const entry of [first, second, third]) entry.follow(fleet);
      t.deepEqual(await second.guard.admit(['bad']), { isAdmitted: true });
      second.crash('bad');
      await until(() => fleet.commands === 2);
      third.follow(fleet);
      t.deepEqual(await third.guard.admit(['bad']), { isAdmitted: false, retryAfterMs: 60_000 });
      t.is(third.guard.quarantineOf(['bad'])?.forMs, 60_000);
      t.deepEqual(await third.guard.admit(['other']), { isAdmitted: true });
      t.is(third.guard.heldCount, 1);

      const restarted = new Entry(fleet);
      restarted.follow(fleet);
      t.is(restarted.guard.quarantineOf(['bad'])?.forMs, 60_000, 'an entry that has just started');
    },
  );

  test(
    title(
      'after the quarantine one entry runs a trial request, whose success releases the content',
    ),
    async (t) => {
      const fleet = new FakeFleet();
      const entries = [new Entry(fleet), new Entry(fleet)];
      entries[0]?.crash('bad');
      entries[0]?.crash('bad');
      await until(() => fleet.commands > 0);
      for (const entry of entries) {
        entry.follow(fleet);
        entry.nowMs += 60_000;
        t.true(
          (entry.guard.quarantineOf(['bad'])?.forMs ?? 0) > 0,
          'no trial request was permitted yet',
        );
      }
      const admissions = await Promise.all(entries.map(({ guard }) => guard.admit(['bad'])));
      t.is(admissions.filter(({ isAdmitted }) => isAdmitted).length, 1);
      entries[0]?.guard.noteExecuted(['bad']);
      await until(() => fleet.state.deltaSince(START).crashes?.records[0]?.crashes === 0);
      for (const entry of entries) {
        entry.follow(fleet);
        t.true(entry.guard.isIdle);
      }
    },
  );

  test(
    title('successful runs clear popular content while other content stays quarantined'),
    async (t) => {
      const fleet = new FakeFleet();
      const entry = new Entry(fleet);
      for (let crash = 0; crash < 2; crash += 1) {
        entry.crash('bad');
        entry.crash('popular');
        entry.guard.noteExecuted(['popular']);
      }
      await until(() => fleet.commands > 0);
      entry.follow(fleet);
      t.is(entry.guard.quarantineOf(['popular']), undefined);
      t.true((entry.guard.quarantineOf(['bad'])?.forMs ?? 0) > 0);
    },
  );

  /*
   * Guards against the quarantine of popular content, refused for a minute at every entry, because
   * one of its streams ran beside content that crashes endpoints and was resumed with it at a
   * second endpoint. A crash must count less if the response had begun: the popular stream had
   * delivered events at both endpoints, the crashing content at neither.
   */
  test(
    title('serves content whose response had begun at both crashes of another content'),
    async (t) => {
      const fleet = new FakeFleet();
      const entries = [new Entry(fleet), new Entry(fleet)] as const;
      for (let crash = 1; crash <= 2; crash += 1) {
        entries[0].crash('bad');
        entries[1].crash('popular', true);
        await until(() => fleet.commands === 2 * crash);
        for (const entry of entries) entry.follow(fleet);
      }
      for (const { guard } of entries) {
        t.deepEqual(await guard.admit(['popular']), { isAdmitted: true });
        t.is(guard.quarantineOf(['bad'])?.forMs, 60_000);
      }
    },
  );

  test(
    title('without a leader an entry quarantines what it observed itself, and reports it later'),
    async (t) => {
      const fleet = new FakeFleet();
      fleet.isReachable = false;
      const entry = new Entry(fleet);
      entry.crash('bad');
      entry.crash('bad');
      t.false((await entry.guard.admit(['bad'])).isAdmitted);
      entry.nowMs += 60_000;
      t.false((await entry.guard.admit(['bad'])).isAdmitted, 'no leader permits a trial request');
      fleet.isReachable = true;
      entry.nowMs -= 60_000;
      await until(() => fleet.commands > 0);
      t.is(fleet.state.deltaSince(START).crashes?.records[0]?.crashes, 2);
      entry.nowMs += HOUR_MS;
      entry.follow(fleet);
      t.true((entry.guard.quarantineOf(['bad'])?.forMs ?? 0) > 0);
    },
  );

  test(title('stops retrying a report when the reporter is closed'), async (t) => {
    let attempts = 0;
    const fleet: GroupCaller = {
      call: () => {
        attempts += 1;
        return Promise.reject(new Error('no leader'));
      },
    };
    const logger = createLogger({ level: 'silent' });
    const reporter = new CrashReporter({ fleet, logger, nowMs: () => 0 });
    reporter.reportSurvival('content');
    await until(() => attempts > 1);
    reporter.close();
    const attemptsAtClose = attempts;
    await pause(SOME_ATTEMPTS_MS);
    t.is(attempts, attemptsAtClose);
  });
});
