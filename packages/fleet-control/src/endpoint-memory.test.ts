import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { EndpointRegistry } from '@shedline/fleet';
import type { EndpointHeartbeat } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { EndpointMemory } from './endpoint-memory.js';

const HEARTBEAT_MS = 1200;

function heartbeat(endpointId: string, sequence = 1): EndpointHeartbeat {
  return {
    endpointId,
    startedAtMs: 0,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    slots: 8,
    warmUpLeftMs: 0,
    sequence,
  };
}

interface Run {
  readonly registry: EndpointRegistry;
  readonly memory: EndpointMemory;
}

function runIn(dataDir: string, nowMs: number): Run {
  const registry = new EndpointRegistry(`epoch ${nowMs}`);
  const memory = new EndpointMemory({
    dataDir,
    registry,
    heartbeatMs: HEARTBEAT_MS,
    logger: createLogger({ level: 'silent' }),
    nowMs: () => nowMs,
  });
  return { registry, memory };
}

async function folder(t: { teardown(undo: () => Promise<void>): void }): Promise<string> {
  const dataDir = await mkdtemp(join(tmpdir(), 'shedline-endpoints-'));
  t.teardown(() => rm(dataDir, { recursive: true }));
  return dataDir;
}

describe('endpoint memory', () => {
  test(title('gives the next run what the last one heard, one heartbeat old'), async (t) => {
    const dataDir = await folder(t);
    const before = runIn(dataDir, 5000);
    before.registry.hear(heartbeat('a', 7), 0, 5000);
    before.registry.hear(heartbeat('b'), 0, 5000);
    await before.memory.save();
    const after = runIn(dataDir, 100);
    await after.memory.restore();
    const { heartbeats } = after.registry.since('', 0, 100);
    t.deepEqual(
      heartbeats.map(({ heartbeat: { endpointId, sequence }, ageMs }) => [
        endpointId,
        sequence,
        ageMs,
      ]),
      [
        ['a', 7, HEARTBEAT_MS],
        ['b', 1, HEARTBEAT_MS],
      ],
    );
    t.true(after.registry.hear(heartbeat('a', 8), 0, 200), 'a newer heartbeat counts');
  });

  test(title('starts without endpoints where the file was torn or never written'), async (t) => {
    const dataDir = await folder(t);
    const first = runIn(dataDir, 0);
    await first.memory.restore();
    t.is(first.registry.since('', 0, 0).heartbeats.length, 0);
    await writeFile(join(dataDir, 'endpoints.json'), '[{"endpointId":"a"}, {"endp');
    const torn = runIn(dataDir, 0);
    await torn.memory.restore();
    t.is(torn.registry.since('', 0, 0).heartbeats.length, 0);
    await writeFile(join(dataDir, 'endpoints.json'), '[{"endpointId":"a"}, 3, null]');
    const wrong = runIn(dataDir, 0);
    await wrong.memory.restore();
    t.is(wrong.registry.since('', 0, 0).heartbeats.length, 0);
  });

  test(title('takes a file without starts, and none with a start that is no number'), async (t) => {
    const dataDir = await folder(t);
    const { startedAtMs, ...old } = heartbeat('old');
    t.is(startedAtMs, 0);
    const heard = [old, { ...heartbeat('wrong'), startedAtMs: 'soon' }, heartbeat('new')];
    await writeFile(join(dataDir, 'endpoints.json'), JSON.stringify(heard));
    const { registry, memory } = runIn(dataDir, 0);
    await memory.restore();
    t.deepEqual(
      registry.since('', 0, 0).heartbeats.map((one) => one.heartbeat),
      [heartbeat('old'), heartbeat('new')],
    );
  });

  test(title('writes a new run of an endpoint that it has'), async (t) => {
    const dataDir = await folder(t);
    const { registry, memory } = runIn(dataDir, 0);
    registry.hear(heartbeat('a', 9), 0, 0);
    await memory.save();
    registry.hear({ ...heartbeat('a', 1), startedAtMs: 5000 }, 0, 0);
    await memory.save();
    const text = await readFile(join(dataDir, 'endpoints.json'), 'utf8');
    t.is((JSON.parse(text) as EndpointHeartbeat[])[0]?.startedAtMs, 5000);
  });

  test(title('writes only when endpoints came or went'), async (t) => {
    const dataDir = await folder(t);
    const { registry, memory } = runIn(dataDir, 0);
    registry.hear(heartbeat('a', 1), 0, 0);
    await memory.save();
    registry.hear(heartbeat('a', 2), 0, 0);
    await memory.save();
    const text = await readFile(join(dataDir, 'endpoints.json'), 'utf8');
    t.is((JSON.parse(text) as EndpointHeartbeat[])[0]?.sequence, 1);
  });
});
