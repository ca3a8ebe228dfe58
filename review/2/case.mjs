/**
 * Sends SIGTERM to an entry and keeps sending it streams from clients that still have its address.
 * Exits with 1 if the rule LOST was broken, 0 if it held, and 2 if the case couldn't run.
 */
import { writeFileSync, appendFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet, HOST, Replica, SERVICE, call, configurationOf, sleep } from '../lib/fleet.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const RECORD = join(FOLDER, 'record.txt');
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of a small deployment, from its sheet. */
const GRACE_S = 8;
const LOSS_SLACK_MS = 200;
const TTL_S = 5;
/** Deadline of the clients and `timeoutMs` of the route. */
const DEADLINE_MS = 5000;
/** The rule excuses requests that were sent no later than this after the SIGTERM. */
const EXCUSED_UNTIL_MS = 3000;
/** 40 events at pauses of 90 ms, less than the 200 ms of the sheet: 3.6 s for a stream. */
const EVENTS = 40;
const EVENT_MS = 90;
/** When the requests are sent, in ms after the SIGTERM; the answers of the directory last 5 s. */
const SEND_AT_MS = [1000, 3300, 3800, 4200, 4600];

writeFileSync(RECORD, '');
const startedAtMs = performance.now();
function record(what, details = {}) {
  const atS = ((performance.now() - startedAtMs) / 1000).toFixed(3);
  appendFileSync(RECORD, `${atS} ${what} ${JSON.stringify(details)}\n`);
}

const fleet = new Fleet({ entries: 3, record });
const replicas = [];

async function resolve() {
  const answer = await call({
    host: fleet.ipOf('entry-1'),
    port: fleet.registryPort,
    method: 'GET',
    path: `/resolve?name=${HOST}&region=region-1&zone=zone-1`,
  });
  record('directory', { status: answer.status, text: answer.text });
  return JSON.parse(answer.text);
}

async function sendStream(id, host) {
  const sentAtMs = performance.now();
  const answer = await call({
    host,
    port: fleet.callerPort,
    method: 'POST',
    path: `/once/${id}`,
    headers: {
      Host: HOST,
      'X-Request-Id': id,
      'X-Model': 'm',
      'X-Token-Usage': '450,320',
      'X-Prefix-Hash': '5c1e07a2:100,91bd3f06:100,e4402b7d:250',
      'X-Deadline-Ms': String(DEADLINE_MS),
    },
    body: 'x'.repeat(1500),
    timeoutMs: DEADLINE_MS,
  });
  const events = answer.text.split('\n\n').length - 1;
  const tookMs = Math.round(performance.now() - sentAtMs);
  const isWhole = answer.status === 200 && answer.end === 'complete' && events === EVENTS;
  const result = { id, status: answer.status, end: answer.end, events, tookMs, isWhole };
  result.lastByteAgoMs = Math.round((answer.endedAtMs ?? 0) - answer.sentAtMs);
  record('answered', result);
  return result;
}

/**
 * Whether an answer breaks the rule: its request was read whole, and its connection ended without a
 * complete answer, once it had been passed on to a replica or later than the slack.
 */
function isLost({ id, end, tookMs, lastByteAgoMs, sentAfterTermMs }) {
  const isCut = end.startsWith('closed') || end.startsWith('cut');
  const isExcused = sentAfterTermMs <= EXCUSED_UNTIL_MS || tookMs >= DEADLINE_MS;
  const hasRun = replicas.some((replica) => replica.runs.some((run) => run.id === id));
  return isCut && !isExcused && (hasRun || lastByteAgoMs > LOSS_SLACK_MS);
}

async function run() {
  await fleet.prepare();
  await fleet.startAll();
  await fleet.configure(configurationOf(1));
  for (let n = 1; n <= 3; n += 1) {
    const replica = new Replica({
      fleet,
      id: `i-${n}`,
      ip: `127.0.3.${n}`,
      port: fleet.ports + 23,
      service: SERVICE,
      zone: `zone-${n}`,
      events: EVENTS,
      eventMs: EVENT_MS,
      record,
    });
    await replica.start();
    replicas.push(replica);
  }
  await sleep(3000);
  const warmUp = await sendStream('warm-up', fleet.ipOf('entry-1'));
  if (!warmUp.isWhole) throw new Error('the fleet does not serve without a disruption');
  // A client asks the directory, and uses the answer for as long as it says.
  const { addresses, ttlS } = await resolve();
  const address = `${fleet.ipOf('entry-1')}:${fleet.callerPort}`;
  if (!addresses.includes(address) || ttlS > TTL_S) throw new Error('unexpected directory answer');
  const resolvedAtMs = performance.now();
  const termAtMs = performance.now();
  const ending = HAS_TROUBLE ? fleet.end('entry-1', 'SIGTERM') : undefined;
  const answers = await Promise.all(
    SEND_AT_MS.map(async (atMs, index) => {
      await sleep(Math.max(0, termAtMs + atMs - performance.now()));
      if (performance.now() - resolvedAtMs > ttlS * 1000) throw new Error('sent too late');
      record('send', { id: `r-${index}`, afterTermMs: atMs });
      return { sentAfterTermMs: atMs, ...(await sendStream(`r-${index}`, fleet.ipOf('entry-1'))) };
    }),
  );
  await ending;
  const afterMs = Math.round(performance.now() - termAtMs);
  if (HAS_TROUBLE) record('entry ended', { afterMs, graceMs: GRACE_S * 1000 });
  for (const replica of replicas)
    for (const one of replica.runs)
      record('replica ran', { replica: replica.id, id: one.id, isDone: one.done === true });
  if (fleet.unexpectedExits.length > 0) throw new Error('a process ended by itself');
  return answers.filter(isLost);
}

let code = 2;
try {
  const lost = await run();
  record('verdict', { rule: 'LOST', broken: lost.length > 0, lost });
  console.log(lost.length > 0 ? `LOST broken: ${lost.map(({ id }) => id).join(', ')}` : 'held');
  code = lost.length > 0 ? 1 : 0;
} catch (error) {
  record('could not run', { reason: error.stack });
  console.error(error);
} finally {
  for (const replica of replicas) await replica.stop();
  await fleet.close();
}
process.exit(code);
