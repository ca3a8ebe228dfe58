/**
 * A configuration removes the batch route while its jobs are kept; reads a job that is done and one
 * that is open, before and after it.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { batchRoute, configuration, itemsOf, randomId, runCase, textOf } from '../lib-2/fleet.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const ITEMS = 10;
const EVENTS = 30;
const EVENT_MS = 20;
/** Events of the items of the job that stays open. */
const LONG_EVENTS = 1000;
/** `configMs` and `settleMs` of the sheet, and a second more. */
const SETTLED_MS = 2000 + 1000 + 1000;
const READS_PER_NODE = 3;
const READ_PAUSE_MS = 500;

const STREAM_ROUTE = {
  name: 'r-stream',
  pathPrefix: '/pufi791/',
  routeKind: 'streaming',
  service: SERVICE,
};

async function submit(fleet, machine, items) {
  const jobId = randomId();
  const { status } = await fleet.client(machine, {
    method: 'POST',
    path: `/pule252/${jobId.slice(0, 6)}`,
    headers: { 'X-Request-Id': jobId, 'Content-Type': 'application/json' },
    body: JSON.stringify({ items }),
  });
  if (status !== 202) throw new Error(`a job was answered ${status}`);
  return jobId;
}

async function read(fleet, machine, jobId) {
  const { status, body } = await fleet.client(machine, { path: `/lots/${jobId}?after=0` });
  return { status, results: status === 200 ? JSON.parse(body.toString()).results : [] };
}

async function putConfiguration(fleet, version, routes) {
  const { status } = await fleet.order({ body: configuration(version, routes, [SERVICE]) });
  if (status !== 200) throw new Error(`version ${version} was answered ${status}`);
}

async function run(fleet, record) {
  await fleet.start();
  await putConfiguration(fleet, 3, [STREAM_ROUTE, batchRoute(SERVICE)]);
  const longItems = itemsOf(ITEMS, '/pule252/');
  const longIds = new Set(longItems.map(({ id }) => id));
  const eventsOf = (id) => (longIds.has(id) ? LONG_EVENTS : EVENTS);
  for (let count = 0; count < 6; count += 1)
    await fleet.addReplica({ service: SERVICE, eventMs: EVENT_MS, eventsOf });
  await fleet.untilReady();
  const doneId = await submit(fleet, fleet.fronts[0], itemsOf(ITEMS, '/pule252/'));
  const openId = await submit(fleet, fleet.fronts[1], longItems);
  await pause(4000);
  const before = await read(fleet, fleet.fronts[0], doneId);
  const isWhole = before.results.every(({ id, text }) => text === textOf(id, EVENTS));
  record.add(`${before.results.length} results of the first job, whole: ${isWhole}`);
  if (before.results.length !== ITEMS) throw new Error('the first job was not done');
  const batch = HAS_TROUBLE ? [] : [batchRoute(SERVICE, { timeoutMs: 16_000 })];
  await putConfiguration(fleet, 5, [STREAM_ROUTE, ...batch]);
  await pause(SETTLED_MS);
  const counts = { lost: 0, read: 0 };
  for (const machine of fleet.fronts) {
    for (let turn = 0; turn < READS_PER_NODE; turn += 1) {
      for (const jobId of [doneId, openId]) {
        const { status } = await read(fleet, machine, jobId);
        if (status === 404 || status === 410) counts.lost += 1;
        if (status === 200) counts.read += 1;
      }
      await pause(READ_PAUSE_MS);
    }
  }
  const text = `${counts.lost} reads of accepted jobs were answered 404 or 410, ${counts.read} 200`;
  record.add(text);
  process.stdout.write(`${text}\n`);
  return counts.lost > 0;
}

await runCase(import.meta.url, run);
