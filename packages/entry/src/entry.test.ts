import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { sha256Hex } from '@shedline/types';
import type { Announcement } from '@shedline/types';
import { AnnouncementForwarder, heartbeatOf } from './announcement-forwarder.js';
import { StreamValidator } from './stream-validator.js';
import { Authenticator } from './auth.js';
import { HeldItems } from './held-items.js';
import { readItemParts } from './job-upload.js';
import { openSession, readSession } from './sessions.js';

const SEED = 71;

function chunk(id: string, text: string, finish: string | null = null): string {
  return JSON.stringify({ id, choices: [{ delta: { content: text }, finish_reason: finish }] });
}

describe('StreamValidator', () => {
  test(title('accepts only the complete response to its own request, once'), (t) => {
    const validEvents = [chunk('r', 'a'), chunk('r', 'b'), chunk('r', '', 'stop'), '[DONE]'];
    const change = fc.record({
      kind: fc.constantFrom('none', 'drop', 'double', 'otherRequest', 'truncate', 'garble'),
      at: fc.nat(3),
    });
    fc.assert(
      fc.property(change, ({ kind, at }) => {
        const events = [...validEvents];
        if (kind === 'drop' && at >= 2) events.splice(at, 1);
        if (kind === 'double' && at >= 2) events.splice(at, 0, events[at] ?? '');
        if (kind === 'otherRequest') events.splice(at, 0, chunk('other', 'x'));
        if (kind === 'truncate') events.length = at;
        if (kind === 'garble') events.splice(at, 0, '{"id":');
        const validator = new StreamValidator('r');
        let text = '';
        let isInvalid = false;
        for (const data of events) {
          const event = validator.accept(data);
          if (event.kind === 'invalid') isInvalid = true;
          if (isInvalid) break;
          if (event.kind === 'token') text += event.text;
        }
        const accepted = !isInvalid && validator.isComplete;
        if (accepted) t.is(text, 'ab');
        const harmless = kind === 'none' || ((kind === 'drop' || kind === 'double') && at < 2);
        t.is(accepted, harmless, `${kind} ${at}`);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

describe('Authenticator', () => {
  const authenticator = new Authenticator([
    { role: 'caller', workspace: 'demo', tokenSha256: sha256Hex('c') },
    { role: 'operator', tokenSha256: sha256Hex('o') },
  ]);

  test(
    title('identifies the caller by its token and rejects requests that need another role'),
    (t) => {
      t.is(authenticator.requireCaller('Bearer c'), 'demo');
      for (const header of [undefined, 'Bearer x', 'Basic c', 'Bearer o']) {
        t.throws(() => authenticator.requireCaller(header), { message: /token/ });
      }
      t.throws(() => authenticator.requireRole('Bearer c', 'operator'), {
        message: /no operator role/,
      });
    },
  );
});

describe('sessions', () => {
  test(title('a token is valid only for its fleet and workspace'), (t) => {
    const token = openSession('secret', 'demo', 'chat');
    t.is(readSession('secret', token, 'demo').service, 'chat');
    t.throws(() => readSession('other', token, 'demo'));
    t.throws(() => readSession('secret', token, 'else'));
    t.throws(() => readSession('secret', 'nonsense', 'demo'));
  });
});

describe('upload', () => {
  const line = (n: number): string => JSON.stringify({ customId: `c${n}`, body: { messages: [] } });
  const options = { fromIndex: 100, maxItemBytes: 1000 };

  test(title('splits a chunk into consecutive parts that contain every line'), async (t) => {
    const lines = Array.from({ length: 1500 }, (_, n) => line(n));
    const parts = await readItemParts({ ...options, body: Buffer.from(`${lines.join('\r\n')}\n`) });
    t.deepEqual(
      parts.flatMap((part) => [...part.lines]),
      lines,
    );
    let nextIndex = 100;
    for (const part of parts) {
      t.is(part.fromIndex, nextIndex);
      nextIndex += part.lines.length;
    }
  });

  test(title('an error names the invalid line'), async (t) => {
    const invalidChunks = [
      `${line(1)}\n\n${line(2)}`,
      `${line(1)}\n{"customId":"x"}`,
      `${line(1)}\n${line(1)}`,
      `${line(1)}\n${JSON.stringify({ customId: 'l', body: { p: 'x'.repeat(2000) } })}`,
    ];
    for (const text of invalidChunks) {
      await t.throwsAsync(readItemParts({ ...options, body: Buffer.from(text) }), {
        message: /^line 2: /,
      });
    }
  });
});

describe('HeldItems', () => {
  test(title('an item whose lease was closed or not renewed is no longer held'), (t) => {
    const held = new HeldItems();
    const item = (index: number) => ({ index, attempt: 1, alone: false, line: '' });
    const lease = {
      leaseId: 'l',
      jobId: 'j',
      workspace: 'w',
      service: 's',
      idempotent: true,
      dueAtMs: 1,
      items: [item(0), item(1)],
    };
    held.add(1, [lease], 0);
    const first = held.takeFirst(() => true);
    t.truthy(first);
    if (first === undefined) return;
    held.recordRenewal(1, ['l'], [], 1000);
    held.dropExpired(500);
    t.true(held.isOpen(first));
    held.dropExpired(1500);
    t.false(held.isOpen(first));
    t.is(held.waitingCount, 0);
    held.requeue(first);
    t.is(held.waitingCount, 0);
  });
});

describe('AnnouncementForwarder', () => {
  const announcement = (sequence: number, fields: Partial<Announcement> = {}): Announcement => ({
    endpointId: 'e',
    incarnation: 1,
    sequence,
    url: 'http://e',
    availabilityZone: 'z0',
    kind: 'engine',
    models: ['m'],
    services: [],
    load: { running: sequence, waiting: 0, capacity: 8 },
    checksFencing: false,
    leaving: false,
    ...fields,
  });
  const entries = Array.from({ length: 24 }, (_, n) => ({
    name: `n${n}`,
    availabilityZone: `z${n % 2}`,
  }));

  test(
    title('sends changed announcements in full, others as heartbeats, only to the observer set'),
    (t) => {
      const forwarder = new AnnouncementForwarder({ self: 'n0', entries, observerSetSize: 6 });
      const forms: string[] = [];
      for (let sequence = 1; sequence <= 4; sequence += 1) {
        forwarder.add(announcement(sequence, { leaving: sequence === 4 }), 100 * sequence);
        const [sent] = forwarder.takeMessages(100 * sequence + 7);
        t.true((sent?.to.length ?? 0) <= 6);
        const short = sent?.message.short[0];
        if (short !== undefined)
          t.like(heartbeatOf(short), { ageMs: 7, heartbeat: { sequence, running: sequence } });
        forms.push(short === undefined ? 'whole' : 'short');
      }
      t.deepEqual(forms, ['whole', 'short', 'short', 'whole']);
    },
  );
});
