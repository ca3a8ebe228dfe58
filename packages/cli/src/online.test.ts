import { once } from 'node:events';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
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
  action: (fleet: LocalFleet, caller: ShedlineClient) => Promise<void>,
): Promise<void> {
  const fleet = await LocalFleet.start({ engine: { times: FAST }, ...options });
  const caller = fleet.createCaller();
  try {
    await action(fleet, caller);
  } finally {
    await caller.close();
    await fleet.close();
  }
}

function chatBody(content: string, fault?: string): Record<string, unknown> {
  const metadata = fault === undefined ? {} : { metadata: { stand_in_fault: fault } };
  return { model: 'demo/chat', messages: [{ role: 'user', content }], stream: true, ...metadata };
}

/** Returns the text that a stand-in engine generates if no fault occurs. */
function expectedText(content: string): string {
  const generation = planGeneration(`user: ${content}`, undefined);
  return Array.from({ length: generation.tokenCount }, (_, index) => generation.token(index)).join(
    '',
  );
}

interface ChatResult {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
  readonly error: { readonly type: string; readonly ran: string } | undefined;
  readonly ranHeader: string | null;
}

/** Sends one chat request to one entry, without the retries of the caller library. */
async function sendChat(
  url: string,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): Promise<ChatResult> {
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
      error: (JSON.parse(raw) as ChatResult).error,
      ranHeader,
    };
  }
  const events = raw.split('\n\n').filter((event) => event.startsWith('data: {'));
  const chunks = events.map(
    (event) =>
      JSON.parse(event.slice(6)) as {
        error?: ChatResult['error'];
        choices?: { delta?: { content?: string } }[];
      },
  );
  const text = chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? '').join('');
  const error = chunks.find((chunk) => chunk.error !== undefined)?.error;
  return { status: 200, text, isWhole: raw.trimEnd().endsWith('[DONE]'), error, ranHeader };
}

/** Returns a message in response to which engines generate a number of tokens. */
function contentOfLength(tokenCount: number): string {
  for (let n = 0; ; n += 1) {
    const content = `message ${n}`;
    if (planGeneration(`user: ${content}`, undefined).tokenCount === tokenCount) return content;
  }
}

/** What a caller got; `no connection` if the entry had already stopped listening. */
async function outcomeOf(sent: Promise<ChatResult>): Promise<string> {
  try {
    const { isWhole, ranHeader } = await sent;
    if (isWhole) return 'whole';
    return ranHeader === 'no' ? 'not run' : 'cut';
  } catch (error) {
    const { cause } = error as Error;
    const isRefused = (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED';
    return isRefused ? 'no connection' : 'cut';
  }
}

describe('online path', () => {
  test.serial(
    title(
      'a stream whose engine resets it, crashes or hangs resumes on another engine and completes',
    ),
    (t) =>
      withFleet(
        { engines: 4, row: { targets: { firstTokenMs: 50, betweenTokensMs: 10 } } },
        async (fleet) => {
          for (const fault of ['cut:3', 'hang:5', 'die:4']) {
            const result = await sendChat(
              fleet.urls[0] ?? '',
              chatBody(`find under ${fault}`, fault),
            );
            t.is(result.text, expectedText(`find under ${fault}`), fault);
            t.true(result.isWhole, fault);
          }
        },
      ),
  );

  test.serial(
    title('a response to another request never reaches the caller, even if every attempt gets one'),
    (t) =>
      withFleet({ engines: 2 }, async (fleet) => {
        const result = await sendChat(fleet.urls[0] ?? '', chatBody('whose answer', 'crossed!'));
        t.like(result, { text: '', isWhole: false, error: { ran: 'unknown' } });
      }),
  );

  test.serial(
    title('a non-idempotent request is sent once, and its error says that it may have run'),
    (t) =>
      withFleet({ engines: 3, row: { idempotent: false } }, async (fleet) => {
        const result = await sendChat(fleet.urls[0] ?? '', chatBody('billed script', 'cut:3'));
        t.like(result, { isWhole: false, error: { ran: 'unknown' } });
        const attemptCounts = fleet.engines.map(
          (engine) => engine.attemptsByPrompt.get('user: billed script') ?? 0,
        );
        t.is(
          attemptCounts.reduce((a, b) => a + b, 0),
          1,
        );
        const keyed = { 'idempotency-key': 'script-9' };
        const first = await sendChat(fleet.urls[0] ?? '', chatBody('keyed script'), keyed);
        const again = await sendChat(fleet.urls[0] ?? '', chatBody('keyed script'), keyed);
        t.is(first.text, expectedText('keyed script'));
        t.is(again.text, first.text);
        const keyedAttemptCounts = fleet.engines.map(
          (engine) => engine.attemptsByPrompt.get('user: keyed script') ?? 0,
        );
        t.is(
          keyedAttemptCounts.reduce((a, b) => a + b, 0),
          1,
        );
      }),
  );

  test.serial(
    title(
      'a refusal with ran "no" was executed by no engine, and a permanent error is not retried',
    ),
    (t) =>
      withFleet({ engines: 2 }, async (fleet) => {
        const refused = await sendChat(fleet.urls[0] ?? '', chatBody('full', 'refuse!'));
        t.like(refused, { status: 503, ranHeader: 'no', error: { ran: 'no' } });
        const bad = await sendChat(fleet.urls[0] ?? '', chatBody('bad', 'invalid!'));
        t.like(bad, { status: 400, error: { type: 'invalid_request' } });
        const attemptCounts = fleet.engines.map(
          (engine) => engine.attemptsByPrompt.get('user: bad') ?? 0,
        );
        t.is(
          attemptCounts.reduce((a, b) => a + b, 0),
          1,
        );
        for (const engine of fleet.engines) engine.crash();
        const withoutEngines = await sendChat(fleet.urls[0] ?? '', chatBody('gone'));
        t.like(withoutEngines, { status: 503, ranHeader: 'no' });
      }),
  );

  test.serial(
    title('a draining endpoint gets no new requests from any entry, and its streams complete'),
    (t) =>
      withFleet(
        { engines: 2, entries: 3, engine: { times: { ...FAST, stepMs: 20 } } },
        async (fleet) => {
          const [first] = fleet.engines;
          const running = fleet.urls.map((url, n) => sendChat(url, chatBody(`running ${n}`)));
          await pause(100);
          await first?.announceLeaving();
          await pause(200);
          const before = first?.attemptsById.size;
          const later = await Promise.all(
            Array.from({ length: 12 }, (_, n) =>
              sendChat(fleet.urls[n % 3] ?? '', chatBody(`later ${n}`)),
            ),
          );
          t.is(first?.attemptsById.size, before);
          for (const result of [...(await Promise.all(running)), ...later]) t.true(result.isWhole);
        },
      ),
  );

  test.serial(title('a draining entry serves requests that arrive while others are open'), (t) =>
    withFleet({ engine: { times: { ...FAST, stepMs: 30 } } }, async (fleet) => {
      const [url = ''] = fleet.urls;
      const running = sendChat(url, chatBody('one that runs when the stop begins'));
      await pause(100);
      const drained = fleet.entries[0]?.drain();
      await pause(100);
      // A connection opened before the drain may be accepted, and its request read, only now.
      const late = await sendChat(url, chatBody('one that arrives after it'));
      t.true(late.isWhole);
      t.true((await running).isWhole);
      await drained;
    }),
  );

  // Guards against a stop that waits for the calls of callers only.
  test.serial(title('a draining entry answers an operator whose body is still arriving'), (t) =>
    withFleet({}, async (fleet) => {
      const [url = ''] = fleet.urls;
      const edit = request(`${url}/v1/table`, {
        method: 'PUT',
        headers: { Authorization: `Bearer ${FLEET_TOKENS.operator}`, 'Content-Length': '2' },
      });
      edit.write('{');
      await pause(100);
      const drained = fleet.entries[0]?.drain();
      // Longer than a draining entry waits if no call is in progress.
      await pause(600);
      edit.end('}');
      const [response] = (await once(edit, 'response')) as [IncomingMessage];
      response.resume();
      t.is(response.statusCode, 400, 'not a table');
      await drained;
    }),
  );

  // Guards against a stop that begins requests until its time limit, and then aborts them.
  test.serial(title('a draining entry aborts no stream that it accepts'), (t) =>
    withFleet(
      {
        entries: 2,
        engines: 2,
        engine: { times: { ...FAST, stepMs: 50 } },
        entry: { drainTimeoutMs: 1500 },
      },
      async (fleet) => {
        const [url = ''] = fleet.urls;
        const content = contentOfLength(20);
        const known = Array.from({ length: 12 }, () => sendChat(url, chatBody(content)));
        for (const result of await Promise.all(known)) t.true(result.isWhole);
        const stopped = new AbortController();
        const drained = fleet.entries[0]?.drain().then(() => {
          stopped.abort();
        });
        const results: Promise<string>[] = [];
        while (!stopped.signal.aborted) {
          results.push(outcomeOf(sendChat(url, chatBody(content))));
          await pause(100);
        }
        await drained;
        const outcomes = await Promise.all(results);
        t.false(outcomes.includes('cut'), outcomes.join(' '));
        t.true(outcomes.includes('whole'), outcomes.join(' '));
        t.true(outcomes.includes('not run'), outcomes.join(' '));
      },
    ),
  );

  test.serial(title('an entry drained under load aborts no request, and callers use others'), (t) =>
    withFleet(
      { engines: 3, entries: 3, engine: { times: { ...FAST, stepMs: 10 } } },
      async (fleet, caller) => {
        let isStopped = false;
        let completedCount = 0;
        const load = Array.from({ length: 8 }, async (_, worker) => {
          for (let n = 0; !isStopped; n += 1) {
            const content = `worker ${worker} question ${n}`;
            const answer = await caller.chat({
              service: 'demo/chat',
              messages: [{ role: 'user', content }],
              idempotent: false,
            });
            t.is(answer.text, expectedText(content));
            completedCount += 1;
          }
        });
        for (const index of [0, 1, 2]) {
          await fleet.entries[index]?.drain();
          await fleet.restartEntry(index);
          const first = await sendChat(fleet.urls[index] ?? '', chatBody('first words'));
          t.true(first.isWhole, 'a restarted entry knows the endpoints before it listens');
          await fleet.waitUntilUsable(3);
        }
        isStopped = true;
        await Promise.all(load);
        t.true(completedCount > 20);
      },
    ),
  );

  test.serial(
    title(
      'a limit of the table holds for the sum of all entries, and excess requests get status 429',
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
          const results = await Promise.all(
            Array.from({ length: 60 }, (_, n) =>
              sendChat(fleet.urls[n % 2] ?? '', chatBody(`q ${n}`)),
            ),
          );
          const admitted = results.filter((result) => result.status === 200).length;
          t.true(admitted >= 2 && admitted <= 10, `${admitted} admitted`);
          t.true(
            results.every(
              (result) =>
                result.status === 200 || (result.status === 429 && result.ranHeader === 'no'),
            ),
          );
        },
      ),
  );

  describe('orders', () => {
    test.serial(
      title('an order that is placed repeatedly is executed once, and the model is then served'),
      (t) =>
        withFleet({ engines: 1, engine: { times: FAST, checksFencing: true } }, async (fleet) => {
          const operator = fleet.createOperator();
          const body = {
            orderId: 'load-1',
            endpointId: 'engine-1',
            kind: 'loadModel',
            subject: 'second-model',
          };
          const placeOrder = {
            method: 'POST',
            path: '/v1/orders',
            body,
            repeatable: true,
          } as const;
          await operator.json(placeOrder);
          const readState = async (): Promise<string | undefined> => {
            const call = { method: 'GET', path: '/v1/orders', repeatable: true } as const;
            const { orders } = (await operator.json(call)) as { orders: { state: string }[] };
            return orders[0]?.state;
          };
          while ((await readState()) !== 'done') await pause(50);
          await operator.json(placeOrder);
          await pause(700);
          t.is(fleet.engines[0]?.orderCounts.get('load-1'), 1);
          t.true(fleet.engines[0]?.announcement().models.includes('second-model'));
          await operator.close();
        }),
    );
  });

  describe('sessions', () => {
    test.serial(title('every entry accepts the session, other workspaces cannot see it'), (t) =>
      withFleet({ entries: 2, engines: 2 }, async (fleet, caller) => {
        const session = await caller.openSession('demo/chat');
        for (const url of fleet.urls) {
          t.true((await sendChat(url, chatBody('turn'), { 'shedline-session': session })).isWhole);
        }
        const forged = `${session.slice(0, -2)}xx`;
        t.is(
          (await sendChat(fleet.urls[0] ?? '', chatBody('turn'), { 'shedline-session': forged }))
            .status,
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
        'requests stay on the engine that holds the cache, which is transferred when it drains',
      ),
      (t) =>
        withFleet({ engines: 3 }, async (fleet, caller) => {
          const session = await caller.openSession('demo/chat');
          const history = 'stratigraphy of the trench '.repeat(60);
          const turn = async (n: number): Promise<void> => {
            const result = await sendChat(fleet.urls[0] ?? '', chatBody(`${history} ${n}`), {
              'shedline-session': session,
            });
            t.true(result.isWhole);
          };
          for (let n = 0; n < 5; n += 1) await turn(n);
          const used = fleet.engines.filter((engine) => engine.attemptsById.size > 0);
          t.is(used.length, 1);
          await used[0]?.announceLeaving();
          await turn(6);
          const next = fleet.engines.find(
            (engine) => engine !== used[0] && engine.attemptsById.size > 0,
          );
          t.true((next?.engine.tokenTotals.cachedTokens ?? 0) > 300);
        }),
    );
  });
});
