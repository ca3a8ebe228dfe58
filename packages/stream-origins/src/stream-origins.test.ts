import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { decideOrigin } from './decide-origin.js';
import { STREAM_KEEP_MS, originKeyOf } from './messages.js';
import type { OriginReply, StreamAttempt, StreamOrigin } from './messages.js';
import { OriginRecords } from './origin-records.js';
import { SeenVersions } from './seen-versions.js';

const OLD: StreamOrigin = { service: 's', softwareVersion: 'v1' };
const NEW: StreamOrigin = { service: 's', softwareVersion: 'v2' };

function reply(...versions: StreamOrigin[]): OriginReply {
  return { versions, coversKeepTime: true };
}

describe('decideOrigin', () => {
  test(title('takes the record of a single process, whatever the others know'), (t) => {
    const replies = [{ ...reply(NEW), origin: OLD }];
    t.deepEqual(decideOrigin({ own: reply(NEW), replies, controlCount: 5 }), {
      isKnown: true,
      origin: OLD,
      evidence: 'record',
    });
  });

  test(title('takes the only version if a majority of control processes knows no other'), (t) => {
    const replies = [reply(OLD), reply(OLD)];
    const verdict = decideOrigin({ own: reply(OLD), replies, controlCount: 3 });
    t.deepEqual(verdict, { isKnown: true, origin: OLD, evidence: 'only version' });
  });

  const unknown: Record<string, Parameters<typeof decideOrigin>[0]> = {
    'several versions': {
      own: reply(OLD),
      replies: [reply(OLD), reply(OLD, NEW)],
      controlCount: 3,
    },
    'no majority': { own: reply(OLD), replies: [reply(OLD)], controlCount: 3 },
    'no version': { own: reply(), replies: [reply(), reply()], controlCount: 3 },
    'versions not observed for long enough': {
      own: { ...reply(OLD), coversKeepTime: false },
      replies: [{ ...reply(OLD), coversKeepTime: false }],
      controlCount: 1,
    },
  };
  for (const [reason, evidence] of Object.entries(unknown)) {
    test(title(`does not guess: ${reason}`), (t) => {
      t.deepEqual(decideOrigin(evidence) as unknown, { isKnown: false, reason });
    });
  }

  test(title('does not guess between the services of a split route'), (t) => {
    const other = { service: 'other', softwareVersion: 'v1' };
    const versions = reply(OLD, other);
    t.false(decideOrigin({ own: versions, replies: [versions], controlCount: 1 }).isKnown);
  });
});

describe('OriginRecords', () => {
  test(title('forget a stream after the keep time, counted from its first event'), (t) => {
    const records = new OriginRecords();
    records.record({ key: 'a', ...OLD, writer: 'e', ageMs: 1000, keepMs: 3000 }, 5000);
    t.deepEqual(records.find('a', 7000), OLD);
    t.is(records.find('a', 7001), undefined);
    records.record({ key: 'b', ...OLD, writer: 'e', ageMs: 0, keepMs: 3000 }, 7001);
    t.is(records.size, 1);
  });

  test(title('keep the first origin of an id, and the newest ids'), (t) => {
    const records = new OriginRecords({ maxRecords: 2 });
    for (const origin of [OLD, NEW])
      records.record({ key: 'a', ...origin, writer: 'e', ageMs: 0, keepMs: 3000 }, 0);
    t.deepEqual(records.find('a', 0), OLD);
    for (const key of ['b', 'c'])
      records.record({ key, ...NEW, writer: 'e', ageMs: 0, keepMs: 3000 }, 0);
    t.is(records.find('a', 0), undefined);
    t.deepEqual(records.find('c', 0), NEW);
  });

  test(title('are removed if another incarnation may have written them'), (t) => {
    const records = new OriginRecords();
    const record = { ...OLD, writer: 'e', keepMs: 3000 };
    records.record({ ...record, key: 'before', ageMs: 100 }, 1000);
    records.record({ ...record, key: 'after', ageMs: 0 }, 1000);
    records.record({ ...record, key: 'other', writer: 'f', ageMs: 0 }, 1000);
    t.deepEqual(records.removeBegunAt('e', 950), ['after']);
    t.is(records.find('after', 1000), undefined);
    t.is(records.size, 2);
  });

  test(title('are sent with their age, for the services that need them'), (t) => {
    const records = new OriginRecords();
    records.record({ key: 'a', ...OLD, writer: 'e', ageMs: 10, keepMs: 3000 }, 100);
    records.record(
      { key: 'b', service: 'other', softwareVersion: '', writer: 'e', ageMs: 0, keepMs: 3000 },
      100,
    );
    t.deepEqual(records.ofServices(new Set(['s']), 150), [
      { key: 'a', ...OLD, writer: 'e', ageMs: 60, keepMs: 3000 },
    ]);
  });
});

describe('originKeyOf', () => {
  test(title('differs by host, workspace and id'), (t) => {
    const attempt: StreamAttempt = { host: 'h', workspace: 'w', requestId: 'r' };
    const keys = [
      attempt,
      { ...attempt, host: 'g' },
      { ...attempt, workspace: undefined },
      { ...attempt, workspace: 'v' },
      { ...attempt, requestId: 'q' },
    ].map((named) => originKeyOf(named));
    t.is(new Set(keys).size, keys.length);
    t.true(keys.includes(originKeyOf({ ...attempt })));
  });
});

describe('SeenVersions', () => {
  test(title('report a second version, until the first has not served for the keep time'), (t) => {
    const seen = new SeenVersions();
    t.false(seen.observe(OLD, 0, 0));
    t.true(seen.observe(NEW, 0, 1000));
    t.false(seen.observe(NEW, 0, 2000), 'only the first time');
    t.deepEqual(seen.servicesWithSeveral(2000), new Set(['s']));
    t.deepEqual(seen.of(['s'], STREAM_KEEP_MS), [OLD, NEW]);
    t.deepEqual(seen.of(['s'], STREAM_KEEP_MS + 1), [NEW]);
  });

  test(title('count a delayed heartbeat from when it was sent'), (t) => {
    const seen = new SeenVersions();
    seen.observe(OLD, 500, 1000);
    seen.observe(OLD, 900, 1100);
    t.deepEqual(seen.of(['s'], 500 + STREAM_KEEP_MS), [OLD]);
    t.deepEqual(seen.of(['s'], 501 + STREAM_KEEP_MS), []);
  });
});
