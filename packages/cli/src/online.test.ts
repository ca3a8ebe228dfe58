import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { ShedlineClient } from '@shedline/client';
import { ShedlineError } from '@shedline/errors';
import { planGeneration } from '@shedline/stand-ins';
import { FLEET_TOKENS, describe, title } from '@shedline/test-utils';
import { LocalFleet } from './local-fleet.js';
import type { LocalFleetOptions } from './local-fleet.js';

const FAST = { stepMs: 2, perSequenceMs: 0, perPrefillTokenMs: 0, prefillTokensPerStep: 4096 };

async function withFleet(
  options: LocalFleetOptions,
  work: (fleet: LocalFleet, caller: ShedlineClient) => Promise<void>,
): Promise<void> {
  const fleet = await LocalFleet.start({ engine: { times: FAST }, ...options });
  const caller = fleet.caller();
  try {
    await work(fleet, caller);
  } finally {
    await caller.close();
    await fleet.close();
  }
}

function question(content: string, fault?: string): Record<string, unknown> {
  const metadata = fault === undefined ? {} : { metadata: { stand_in_fault: fault } };
  return { model: 'demo/chat', messages: [{ role: 'user', content }], stream: true, ...metadata };
}

/** The undisturbed answer of the stand-in. */
function expected(content: string): string {
  const generation = planGeneration(`user: ${content}`, undefined);
  return Array.from({ length: generation.tokenCount }, (_, index) => generation.token(index)).join(
    '',
  );
}

interface Asked {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
  readonly error: { readonly type: string; readonly ran: string } | undefined;
  readonly ranHeader: string | null;
}

/** Asks one entry, without the repetitions of the caller library. */
async function ask(
  url: string,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): Promise<Asked> {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${FLEET_TOKENS.caller}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const raw = await response.text();
  const ranHeader = response.headers.get('shedline-ran');
  if (response.status !== 200) {
    return {
      status: response.status,
      text: '',
      isWhole: false,
      error: (JSON.parse(raw) as Asked).error,
      ranHeader,
    };
  }
  const events = raw.split('\n\n').filter((event) => event.startsWith('data: {'));
  const chunks = events.map(
    (event) =>
      JSON.parse(event.slice(6)) as {
        error?: Asked['error'];
        choices?: { delta?: { content?: string } }[];
      },
  );
  const text = chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? '').join('');
  const error = chunks.find((chunk) => chunk.error !== undefined)?.error;
  return { status: 200, text, isWhole: raw.trimEnd().endsWith('[DONE]'), error, ranHeader };
}

describe('online path', () => {
  test.serial(
    title(
      'a stream whose engine cuts it, dies or falls silent goes on elsewhere as one whole answer',
    ),
    (t) =>
      withFleet(
        { engines: 4, row: { targets: { firstTokenMs: 50, betweenTokensMs: 10 } } },
        async (fleet) => {
          for (const fault of ['cut:3', 'hang:5', 'die:4']) {
            const asked = await ask(fleet.urls[0] ?? '', question(`find under ${fault}`, fault));
            t.is(asked.text, expected(`find under ${fault}`), fault);
            t.true(asked.isWhole, fault);
          }
        },
      ),
  );

  test.serial(
    title('an answer to another request never reaches the caller, however often it comes'),
    (t) =>
      withFleet({ engines: 2 }, async (fleet) => {
        const asked = await ask(fleet.urls[0] ?? '', question('whose answer', 'crossed!'));
        t.like(asked, { text: '', isWhole: false, error: { ran: 'unknown' } });
      }),
  );

  test.serial(
    title('a non-idempotent request is sent once, and its caller is told that it may have run'),
    (t) =>
      withFleet({ engines: 3, row: { idempotent: false } }, async (fleet) => {
        const asked = await ask(fleet.urls[0] ?? '', question('billed script', 'cut:3'));
        t.like(asked, { isWhole: false, error: { ran: 'unknown' } });
        const sends = fleet.engines.map(
          (engine) => engine.sendsByPrompt.get('user: billed script') ?? 0,
        );
        t.is(
          sends.reduce((a, b) => a + b, 0),
          1,
        );
        const keyed = { 'idempotency-key': 'script-9' };
        const first = await ask(fleet.urls[0] ?? '', question('keyed script'), keyed);
        const again = await ask(fleet.urls[0] ?? '', question('keyed script'), keyed);
        t.is(first.text, expected('keyed script'));
        t.is(again.text, first.text);
        const keyedSends = fleet.engines.map(
          (engine) => engine.sendsByPrompt.get('user: keyed script') ?? 0,
        );
        t.is(
          keyedSends.reduce((a, b) => a + b, 0),
          1,
        );
      }),
  );

  test.serial(
    title('a refusal that says "not run" reached no engine, and a permanent error is not repeated'),
    (t) =>
      withFleet({ engines: 2 }, async (fleet) => {
        const refused = await ask(fleet.urls[0] ?? '', question('full', 'refuse!'));
        t.like(refused, { status: 503, ranHeader: 'no', error: { ran: 'no' } });
        const bad = await ask(fleet.urls[0] ?? '', question('bad', 'invalid!'));
        t.like(bad, { status: 400, error: { type: 'invalid_request' } });
        const sends = fleet.engines.map((engine) => engine.sendsByPrompt.get('user: bad') ?? 0);
        t.is(
          sends.reduce((a, b) => a + b, 0),
          1,
        );
        for (const engine of fleet.engines) engine.die();
        const gone = await ask(fleet.urls[0] ?? '', question('gone'));
        t.like(gone, { status: 503, ranHeader: 'no' });
      }),
  );

  test.serial(
    title('a leaving endpoint gets no new work from any entry, and its streams end whole'),
    (t) =>
      withFleet(
        { engines: 2, entries: 3, engine: { times: { ...FAST, stepMs: 20 } } },
        async (fleet) => {
          const [first] = fleet.engines;
          const running = fleet.urls.map((url, n) => ask(url, question(`running ${n}`)));
          await pause(100);
          await first?.leave();
          await pause(200);
          const before = first?.sends.size;
          const later = await Promise.all(
            Array.from({ length: 12 }, (_, n) =>
              ask(fleet.urls[n % 3] ?? '', question(`later ${n}`)),
            ),
          );
          t.is(first?.sends.size, before);
          for (const asked of [...(await Promise.all(running)), ...later]) t.true(asked.isWhole);
        },
      ),
  );

  test.serial(title('a planned stop answers what still arrives while requests run'), (t) =>
    withFleet({ engine: { times: { ...FAST, stepMs: 30 } } }, async (fleet) => {
      const [url = ''] = fleet.urls;
      const running = ask(url, question('one that runs when the stop begins'));
      await pause(100);
      const drained = fleet.entries[0]?.drain();
      await pause(100);
      // A connection that was made before the stop may be taken, and its request read, only now.
      const late = await ask(url, question('one that arrives after it'));
      t.true(late.isWhole);
      t.true((await running).isWhole);
      await drained;
    }),
  );

  test.serial(title('an entry that is drained under load cuts nothing, and callers move on'), (t) =>
    withFleet(
      { engines: 3, entries: 3, engine: { times: { ...FAST, stepMs: 10 } } },
      async (fleet, caller) => {
        let stop = false;
        let answered = 0;
        const load = Array.from({ length: 8 }, async (_, worker) => {
          for (let n = 0; !stop; n += 1) {
            const content = `worker ${worker} question ${n}`;
            const answer = await caller.chat({
              service: 'demo/chat',
              messages: [{ role: 'user', content }],
              idempotent: false,
            });
            t.is(answer.text, expected(content));
            answered += 1;
          }
        });
        for (const index of [0, 1, 2]) {
          await fleet.entries[index]?.drain();
          await fleet.restartEntry(index);
          const first = await ask(fleet.urls[index] ?? '', question('first words'));
          t.true(first.isWhole, 'a restarted entry knows the endpoints before it listens');
          await fleet.untilUsable(3);
        }
        stop = true;
        await Promise.all(load);
        t.true(answered > 20);
      },
    ),
  );

  test.serial(
    title(
      "an operator's limit is in force at every entry together, and a refusal says when to come back",
    ),
    (t) =>
      withFleet(
        {
          entries: 2,
          engines: 2,
          row: { limits: { concurrentRequests: 10 } },
          engine: { times: { ...FAST, stepMs: 30 } },
        },
        async (fleet) => {
          await pause(3000);
          const asked = await Promise.all(
            Array.from({ length: 60 }, (_, n) => ask(fleet.urls[n % 2] ?? '', question(`q ${n}`))),
          );
          const admitted = asked.filter((answer) => answer.status === 200).length;
          t.true(admitted >= 2 && admitted <= 10, `${admitted} admitted`);
          t.true(
            asked.every(
              (answer) =>
                answer.status === 200 || (answer.status === 429 && answer.ranHeader === 'no'),
            ),
          );
        },
      ),
  );

  describe('orders', () => {
    test.serial(
      title('an order is carried out once, however often it is asked for, and the model is served'),
      (t) =>
        withFleet({ engines: 1, engine: { times: FAST, checksFencing: true } }, async (fleet) => {
          const operator = fleet.operator();
          const body = {
            orderId: 'load-1',
            endpointId: 'engine-1',
            kind: 'loadModel',
            subject: 'second-model',
          };
          const place = { method: 'POST', path: '/v1/orders', body, repeatable: true } as const;
          await operator.json(place);
          const state = async (): Promise<string | undefined> => {
            const call = { method: 'GET', path: '/v1/orders', repeatable: true } as const;
            const { orders } = (await operator.json(call)) as { orders: { state: string }[] };
            return orders[0]?.state;
          };
          while ((await state()) !== 'done') await pause(50);
          await operator.json(place);
          await pause(700);
          t.is(fleet.engines[0]?.orders.get('load-1'), 1);
          t.true(fleet.engines[0]?.announcement().models.includes('second-model'));
          await operator.close();
        }),
    );
  });

  describe('sessions', () => {
    test.serial(title('any entry honours the token, other workspaces do not see it'), (t) =>
      withFleet({ entries: 2, engines: 2 }, async (fleet, caller) => {
        const session = await caller.openSession('demo/chat');
        for (const url of fleet.urls) {
          t.true((await ask(url, question('turn'), { 'shedline-session': session })).isWhole);
        }
        const forged = `${session.slice(0, -2)}xx`;
        t.is(
          (await ask(fleet.urls[0] ?? '', question('turn'), { 'shedline-session': forged })).status,
          404,
        );
        const stranger = new ShedlineClient({ urls: fleet.urls, token: 'other-token' });
        const path = `/v1/sessions/${session}`;
        const error = await t.throwsAsync(
          stranger.json({ method: 'DELETE', path, repeatable: false }),
          { instanceOf: ShedlineError },
        );
        t.is(error.type, 'not_found');
        await stranger.close();
      }),
    );

    test.serial(
      title(
        'turns stay at the engine that holds the cache, and take it along when that one leaves',
      ),
      (t) =>
        withFleet({ engines: 3 }, async (fleet, caller) => {
          const session = await caller.openSession('demo/chat');
          const history = 'stratigraphy of the trench '.repeat(60);
          const turn = async (n: number): Promise<void> => {
            const asked = await ask(fleet.urls[0] ?? '', question(`${history} ${n}`), {
              'shedline-session': session,
            });
            t.true(asked.isWhole);
          };
          for (let n = 0; n < 5; n += 1) await turn(n);
          const used = fleet.engines.filter((engine) => engine.sends.size > 0);
          t.is(used.length, 1);
          await used[0]?.leave();
          await turn(6);
          const next = fleet.engines.find((engine) => engine !== used[0] && engine.sends.size > 0);
          t.true((next?.engine.tokenTotals.cachedTokens ?? 0) > 300);
        }),
    );
  });
});
