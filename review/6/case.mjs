/**
 * A configuration removes the batch route of an open job and adds another one of the same host and
 * service. Reads, when `finishS` is over, which items of the job are listed.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { batchRoute, configuration, itemsOf, randomId, runCase } from '../lib-2/fleet.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const REPLICAS = 6;
const ITEMS = 200;
/** An item runs for two seconds. */
const EVENTS = 100;
const EVENT_MS = 20;
const FINISH_MS = 18_000;
/** Time in which no replica has an unlisted item. */
const CALM_MS = 5000;

async function putConfiguration(fleet, version, routes) {
  const { status } = await fleet.order({ body: configuration(version, routes, [SERVICE]) });
  if (status !== 200) throw new Error(`version ${version} was answered ${status}`);
}

/** Reads all results of a job, one page after the other, again after each failure. */
async function readAll(fleet, jobId) {
  const results = [];
  for (let turn = 0; turn < 40; turn += 1) {
    const machine = fleet.fronts[turn % fleet.fronts.length];
    const path = `/lots/${jobId}?after=${results.length}`;
    const { status, body } = await fleet.client(machine, { path });
    if (status === 200) {
      const page = JSON.parse(body.toString());
      results.push(...page.results);
      if (page.results.length === 0 || results.length === page.total) return results;
    } else await pause(500);
  }
  throw new Error('the job could not be read');
}

async function run(fleet, record) {
  await fleet.start();
  await putConfiguration(fleet, 3, [batchRoute(SERVICE)]);
  let lastRunAtMs = 0;
  const noteRun = () => {
    lastRunAtMs = performance.now();
    return false;
  };
  const replica = {
    service: SERVICE,
    eventMs: EVENT_MS,
    eventsOf: () => EVENTS,
    onRequest: noteRun,
    onEnd: noteRun,
  };
  for (let count = 0; count < REPLICAS; count += 1) await fleet.addReplica(replica);
  await fleet.untilReady();
  const jobId = randomId();
  const { status } = await fleet.client(fleet.fronts[0], {
    method: 'POST',
    path: `/pule252/${jobId.slice(0, 6)}`,
    headers: { 'X-Request-Id': jobId, 'Content-Type': 'application/json' },
    body: JSON.stringify({ items: itemsOf(ITEMS, '/pule252/') }),
  });
  if (status !== 202) throw new Error(`the job was answered ${status}`);
  await pause(1000);
  const added = batchRoute(SERVICE, { name: 'r-added', pathPrefix: '/zort118/' });
  await putConfiguration(fleet, 5, HAS_TROUBLE ? [added] : [batchRoute(SERVICE), added]);
  record.add('the traffic ends');
  await pause(FINISH_MS);
  const results = await readAll(fleet, jobId);
  const states = ['complete', 'errored'].map(
    (state) => `${results.filter((result) => result.state === state).length} ${state}`,
  );
  const missing = ITEMS - new Set(results.map(({ id }) => id)).size;
  const idleMs = Math.round(performance.now() - lastRunAtMs);
  const text = `${missing} of ${ITEMS} items are not listed (${states.join(', ')}); no replica had an item for ${idleMs} ms`;
  record.add(text);
  process.stdout.write(`${text}\n`);
  if (missing > 0 && idleMs < CALM_MS) throw new Error('replicas were at work in the last 5 s');
  return missing > 0;
}

await runCase(import.meta.url, run);
