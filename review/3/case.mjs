/**
 * Sends SIGTERM to an entry while clients wait there for the results of a batch job. Exits with 1 if
 * the rule LOST was broken, 0 if it held, and 2 if the case couldn't run.
 */
import { appendFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet, HOST, Replica, SERVICE, call, configurationOf, sleep } from '../lib/fleet.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const RECORD = join(FOLDER, 'record.txt');
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of a small deployment, from its sheet. */
const GRACE_MS = 8000;
const LOSS_SLACK_MS = 200;
/** Time that the clients allow for a wait, and 1.5 s longer that they wait themselves. */
const WAIT_MS = 1000;
const CLIENT_TIMEOUT_MS = WAIT_MS + 1500;
/** When the reads are sent, in ms after the SIGTERM; the answers of the directory last 5 s. */
const READ_AT_MS = [500, 2000, 3500, 4200, 4350, 4500, 4650];
/** 250 events at pauses of 100 ms: no item of the job ends while the case runs. */
const EVENTS = 250;
const EVENT_MS = 100;

writeFileSync(RECORD, '');
const startedAtMs = performance.now();
function record(what, details = {}) {
  const atS = ((performance.now() - startedAtMs) / 1000).toFixed(3);
  appendFileSync(RECORD, `${atS} ${what} ${JSON.stringify(details)}\n`);
}

const fleet = new Fleet({ entries: 3, record });
const replicas = [];

async function submit(jobId, host) {
  const items = Array.from({ length: 5 }, (_, index) => ({
    id: `${jobId}-${index}`,
    path: `/batch/x/${index}`,
    headers: {
      'X-Model': 'm',
      'X-Token-Usage': '540,400',
      'X-Prefix-Hash': '9c2e41:300,5d07b8:240',
    },
    body: Buffer.from(`item ${index}`).toString('base64'),
    tokens: 940,
  }));
  const answer = await call({
    host,
    port: fleet.callerPort,
    method: 'POST',
    path: '/batch/x',
    headers: {
      Host: HOST,
      'X-Request-Id': jobId,
      'X-Deadline-Ms': '4000',
      'Content-Type': 'application/json',
    },
    body: JSON.stringify({ items }),
    timeoutMs: 4000,
  });
  record('batch job submitted', { jobId, status: answer.status });
  return answer.status;
}

async function read(id, jobId, host) {
  const answer = await call({
    host,
    port: fleet.callerPort,
    method: 'GET',
    path: `/lots/${jobId}?after=0`,
    headers: { Host: HOST, 'X-Request-Id': id, 'X-Wait-Ms': String(WAIT_MS) },
    timeoutMs: CLIENT_TIMEOUT_MS,
  });
  const { status, end, text } = answer;
  const lastByteAgoMs = Math.round((answer.endedAtMs ?? 0) - answer.sentAtMs);
  const result = { id, status, end, text, lastByteAgoMs };
  record('read answered', result);
  return result;
}

/** Whether an answer breaks the rule: its request was read whole, and its connection was closed. */
function isLost({ status, end, lastByteAgoMs }) {
  return status === 0 && end.startsWith('closed') && lastByteAgoMs > LOSS_SLACK_MS;
}

async function run() {
  await fleet.prepare();
  await fleet.startAll();
  await fleet.configure(configurationOf(1));
  for (let n = 1; n <= 3; n += 1) {
    const place = { id: `i-${n}`, ip: `127.0.3.${n}`, port: fleet.ports + 23, zone: `zone-${n}` };
    const load = { service: SERVICE, events: EVENTS, eventMs: EVENT_MS };
    const replica = new Replica({ fleet, ...place, ...load, record });
    await replica.start();
    replicas.push(replica);
  }
  await sleep(3000);
  const host = fleet.ipOf('entry-1');
  await fleet.until(
    'the batch job is accepted',
    10_000,
    async () => (await submit('job', host)) === 202,
  );
  const first = await read('warm-up', 'job', host);
  if (first.status !== 200) throw new Error('the batch job cannot be read without a disruption');
  const directory = await call({
    host,
    port: fleet.registryPort,
    method: 'GET',
    path: `/resolve?name=${HOST}&region=region-1&zone=zone-1`,
  });
  record('directory', { status: directory.status, text: directory.text });
  const { addresses, ttlS } = JSON.parse(directory.text);
  if (!addresses.includes(`${host}:${fleet.callerPort}`) || ttlS !== 5)
    throw new Error('unexpected answer of the directory');
  const termAtMs = performance.now();
  const ending = HAS_TROUBLE ? fleet.end('entry-1', 'SIGTERM') : undefined;
  const answers = await Promise.all(
    READ_AT_MS.map(async (atMs, index) => {
      await sleep(Math.max(0, termAtMs + atMs - performance.now()));
      record('read sent', { id: `g-${index}`, afterTermMs: atMs });
      return { afterTermMs: atMs, ...(await read(`g-${index}`, 'job', host)) };
    }),
  );
  await ending;
  const afterMs = Math.round(performance.now() - termAtMs);
  if (HAS_TROUBLE) record('entry ended', { afterMs, graceMs: GRACE_MS });
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
