import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { EndpointRegistry } from '@shedline/fleet';
import type { EndpointHeartbeat } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { SavedEndpoints } from './saved-endpoints.js';

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

interface Process {
  readonly registry: EndpointRegistry;
  readonly savedEndpoints: SavedEndpoints;
}

function processIn(dataDir: string, nowMs: number): Process {
  const registry = new EndpointRegistry(`epoch ${nowMs}`);
  const savedEndpoints = new SavedEndpoints({
    dataDir,
    registry,
    heartbeatMs: HEARTBEAT_MS,
    logger: createLogger({ level: 'silent' }),
    nowMs: () => nowMs,
  });
  return { registry, savedEndpoints };
}

async function createDataDir(t: { teardown(undo: () => Promise<void>): void }): Promise<string> {
  const dataDir = await mkdtemp(join(tmpdir(), 'shedline-endpoints-'));
  t.teardown(() => rm(dataDir, { recursive: true }));
  return dataDir;
}

describe('saved endpoints', () => {
  test(
    title('restores the endpoints of the previous process, one heartbeat interval old'),
    async (t) => {
      const dataDir = await createDataDir(t);
      const before = processIn(dataDir, 5000);
      before.registry.record(heartbeat('a', 7), 0, 5000);
      before.registry.record(heartbeat('b'), 0, 5000);
      await before.savedEndpoints.save();
      const after = processIn(dataDir, 100);
      await after.savedEndpoints.restore();
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
      t.true(after.registry.record(heartbeat('a', 8), 0, 200), 'a newer heartbeat is accepted');
    },
  );

  test(title('starts without endpoints if the file is torn or was never written'), async (t) => {
    const dataDir = await createDataDir(t);
    const first = processIn(dataDir, 0);
    await first.savedEndpoints.restore();
    t.is(first.registry.since('', 0, 0).heartbeats.length, 0);
    await writeFile(join(dataDir, 'endpoints.json'), '[{"endpointId":"a"}, {"endp');
    const torn = processIn(dataDir, 0);
    await torn.savedEndpoints.restore();
    t.is(torn.registry.since('', 0, 0).heartbeats.length, 0);
    await writeFile(join(dataDir, 'endpoints.json'), '[{"endpointId":"a"}, 3, null]');
    const invalid = processIn(dataDir, 0);
    await invalid.savedEndpoints.restore();
    t.is(invalid.registry.since('', 0, 0).heartbeats.length, 0);
  });

  test(
    title('accepts heartbeats without a start time, and rejects a start time that is not a number'),
    async (t) => {
      const dataDir = await createDataDir(t);
      const { startedAtMs, ...old } = heartbeat('old');
      t.is(startedAtMs, 0);
      const saved = [old, { ...heartbeat('invalid'), startedAtMs: 'soon' }, heartbeat('new')];
      await writeFile(join(dataDir, 'endpoints.json'), JSON.stringify(saved));
      const { registry, savedEndpoints } = processIn(dataDir, 0);
      await savedEndpoints.restore();
      t.deepEqual(
        registry.since('', 0, 0).heartbeats.map((aged) => aged.heartbeat),
        [heartbeat('old'), heartbeat('new')],
      );
    },
  );

  test(title('writes the file when a known endpoint has a new incarnation'), async (t) => {
    const dataDir = await createDataDir(t);
    const { registry, savedEndpoints } = processIn(dataDir, 0);
    registry.record(heartbeat('a', 9), 0, 0);
    await savedEndpoints.save();
    registry.record({ ...heartbeat('a', 1), startedAtMs: 5000 }, 0, 0);
    await savedEndpoints.save();
    const text = await readFile(join(dataDir, 'endpoints.json'), 'utf8');
    t.is((JSON.parse(text) as EndpointHeartbeat[])[0]?.startedAtMs, 5000);
  });

  test(title('writes the file only when endpoints are added or removed'), async (t) => {
    const dataDir = await createDataDir(t);
    const { registry, savedEndpoints } = processIn(dataDir, 0);
    registry.record(heartbeat('a', 1), 0, 0);
    await savedEndpoints.save();
    registry.record(heartbeat('a', 2), 0, 0);
    await savedEndpoints.save();
    const text = await readFile(join(dataDir, 'endpoints.json'), 'utf8');
    t.is((JSON.parse(text) as EndpointHeartbeat[])[0]?.sequence, 1);
  });
});
