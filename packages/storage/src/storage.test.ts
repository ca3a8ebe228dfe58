import { mkdtemp, readFile, readdir, rm, truncate, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import type { LogEntry } from '@shedline/consensus';
import { ShedlineError } from '@shedline/errors';
import { describe, title } from '@shedline/test-utils';
import { NodeFileSystem } from './file-system.js';
import type { AppendFile, FileSystem } from './file-system.js';
import { lockFolder } from './folder-lock.js';
import { MemoryItemFiles } from './item-files.js';
import { Storage } from './storage.js';

async function withTemporaryFolder(
  work: (folder: string, files: NodeFileSystem) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'shedline-storage-'));
  try {
    await work(folder, new NodeFileSystem(folder));
  } finally {
    await rm(folder, { recursive: true });
  }
}

function entry(index: number, term = 1): LogEntry {
  return { index, term, kind: 'command', data: new Uint8Array([index & 255]) };
}

function recoveredIndexes(storage: Storage, group = 0): number[] {
  return (storage.takeRecovered().get(group)?.entries ?? []).map((found) => found.index);
}

async function writeEntries(files: FileSystem, count: number): Promise<void> {
  const storage = await Storage.open({ files });
  for (let index = 1; index <= count; index += 1) {
    await storage.append({
      group: 0,
      hardState: { term: 1, votedFor: 'a#1' },
      entries: [entry(index)],
    });
  }
  await storage.close();
}

/** Fills small segments, takes a snapshot, and returns the files that it removed. */
async function createRemovedSegments(
  folder: string,
  files: FileSystem,
): Promise<Map<string, Buffer>> {
  const storage = await Storage.open({ files, maxSegmentBytes: 200 });
  const hardState = { term: 1, votedFor: 'a#1' };
  for (let index = 1; index <= 30; index += 1) {
    await storage.append({ group: 0, hardState, entries: [entry(index)] });
  }
  const before = new Map<string, Buffer>();
  for (const name of await files.list()) before.set(name, await readFile(join(folder, name)));
  const config = { voters: ['a#1'], learners: [] };
  await storage.saveSnapshot(0, { index: 20, term: 1, config }, new Uint8Array(0));
  await storage.close();
  const left = new Set(await files.list());
  return new Map([...before].filter(([name]) => !left.has(name)));
}

/** File system on which the next appends or syncs fail. */
class FailingFiles implements FileSystem {
  syncFailures = 0;
  appendFailures = 0;
  private readonly inner: FileSystem;

  constructor(inner: FileSystem) {
    this.inner = inner;
  }

  list(): Promise<string[]> {
    return this.inner.list();
  }

  read(name: string): Promise<Buffer> {
    return this.inner.read(name);
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.inner.replace(name, bytes);
  }

  truncate(name: string, sizeBytes: number): Promise<void> {
    return this.inner.truncate(name, sizeBytes);
  }

  remove(name: string): Promise<void> {
    return this.inner.remove(name);
  }

  async create(name: string): Promise<AppendFile> {
    const file = await this.inner.create(name);
    return {
      append: async (bytes) => {
        if (this.appendFailures > 0) {
          this.appendFailures -= 1;
          await file.append(bytes.subarray(0, bytes.length >> 1));
          throw new Error('ENOSPC: no space left on device');
        }
        await file.append(bytes);
      },
      sync: async () => {
        if (this.syncFailures > 0) {
          this.syncFailures -= 1;
          throw new Error('EIO: i/o error');
        }
        await file.sync();
      },
      truncate: (sizeBytes) => file.truncate(sizeBytes),
      close: () => file.close(),
    };
  }
}

describe('removed segments', () => {
  test(title('are ignored if a power loss restores some of them'), async (t) => {
    for (const selection of ['first', 'last', 'all', 'none'] as const) {
      await withTemporaryFolder(async (folder, files) => {
        const removedSegments = [...(await createRemovedSegments(folder, files))];
        t.true(removedSegments.length >= 3);
        const restoredSegments = {
          first: removedSegments.slice(0, 1),
          last: removedSegments.slice(-1),
          all: removedSegments,
          none: [],
        };
        for (const [name, bytes] of restoredSegments[selection])
          await writeFile(join(folder, name), bytes);
        const storage = await Storage.open({ files });
        const found = storage.takeRecovered().get(0);
        t.is(found?.snapshot.position.index, 20);
        t.is(found?.entries.at(-1)?.index, 30);
        await storage.close();
      });
    }
  });

  test(title('that no snapshot covers prevent the start'), async (t) => {
    await withTemporaryFolder(async (folder, files) => {
      const storage = await Storage.open({ files, maxSegmentBytes: 200 });
      for (let index = 1; index <= 30; index += 1) {
        const hardState = { term: 1, votedFor: 'a#1' };
        await storage.append({ group: 0, hardState, entries: [entry(index)] });
      }
      await storage.close();
      const segments = (await files.list()).filter((name) => name.startsWith('wal-'));
      await rm(join(folder, segments[1] ?? ''));
      await t.throwsAsync(Storage.open({ files }), { message: /is missing/ });
    });
  });
});

describe('Storage', () => {
  test(title('recovers all entries before a torn tail, wherever the log is truncated'), (t) =>
    withTemporaryFolder(async (folder, files) => {
      await writeEntries(files, 20);
      const name = (await readdir(folder))[0] ?? '';
      const original = await readFile(join(folder, name));
      await fc.assert(
        fc.asyncProperty(fc.nat(original.length), async (sizeBytes) => {
          await writeFile(join(folder, name), original);
          await truncate(join(folder, name), sizeBytes);
          const storage = await Storage.open({ files });
          const found = recoveredIndexes(storage);
          await storage.close();
          t.deepEqual(
            found,
            Array.from({ length: found.length }, (_, i) => i + 1),
          );
          if (sizeBytes === original.length) t.is(found.length, 20);
        }),
        { seed: 1, numRuns: 60 },
      );
    }),
  );

  test(title('reports damage in the middle of a file with file name and offset'), (t) =>
    withTemporaryFolder(async (folder, files) => {
      await writeEntries(files, 20);
      const name = (await readdir(folder))[0] ?? '';
      const original = await readFile(join(folder, name));
      await fc.assert(
        fc.asyncProperty(fc.nat(Math.floor(original.length / 2)), async (offset) => {
          const damaged = Buffer.from(original);
          damaged[offset] = (damaged[offset] ?? 0) ^ 0x55;
          await writeFile(join(folder, name), damaged);
          const error = await t.throwsAsync(Storage.open({ files }), { instanceOf: ShedlineError });
          t.is(error.type, 'corrupt_storage');
          t.regex(error.message, /wal-\d+\.log at offset \d+/);
        }),
        { seed: 2, numRuns: 40 },
      );
    }),
  );

  test(title('detects a segment that is missing between two others'), (t) =>
    withTemporaryFolder(async (folder, files) => {
      const storage = await Storage.open({ files, maxSegmentBytes: 200 });
      for (let index = 1; index <= 20; index += 1)
        await storage.append({ group: 0, entries: [entry(index)] });
      await storage.close();
      const names = (await readdir(folder)).sort();
      t.true(names.length > 3);
      await rm(join(folder, names[1] ?? ''));
      const error = await t.throwsAsync(Storage.open({ files }), { instanceOf: ShedlineError });
      t.regex(error.message, /frame \d+ is missing/);
    }),
  );

  test(title('a later entry replaces all entries from its index on'), (t) =>
    withTemporaryFolder(async (_folder, files) => {
      const storage = await Storage.open({ files });
      await storage.append({ group: 0, entries: [entry(1), entry(2), entry(3)] });
      await storage.append({ group: 0, entries: [entry(2, 2)] });
      await storage.close();
      const reopened = await Storage.open({ files });
      const found = reopened.takeRecovered().get(0)?.entries ?? [];
      t.deepEqual(
        found.map(({ index, term }) => [index, term]),
        [
          [1, 1],
          [2, 2],
        ],
      );
      await reopened.close();
    }),
  );

  test(title('acknowledges nothing while writes fail and loses nothing once they succeed'), (t) =>
    withTemporaryFolder(async (_folder, files) => {
      await fc.assert(
        fc.asyncProperty(fc.nat(2), fc.nat(2), async (syncFailures, appendFailures) => {
          for (const name of await files.list()) await files.remove(name);
          const failingFiles = new FailingFiles(files);
          const health: boolean[] = [];
          const storage = await Storage.open({
            files: failingFiles,
            onHealthChange: (failure) => health.push(failure === undefined),
          });
          await storage.append({ group: 0, entries: [entry(1)] });
          failingFiles.syncFailures = syncFailures;
          failingFiles.appendFailures = appendFailures;
          await storage.append({ group: 0, entries: [entry(2)] });
          await storage.append({ group: 0, entries: [entry(3)] });
          await storage.close();
          t.is(health.includes(false), syncFailures + appendFailures > 0);
          const reopened = await Storage.open({ files });
          t.deepEqual(recoveredIndexes(reopened), [1, 2, 3]);
          await reopened.close();
        }),
        { seed: 3, numRuns: 9 },
      );
    }),
  );

  test(title('removes segments only when the snapshots of all groups cover them'), (t) =>
    withTemporaryFolder(async (_folder, files) => {
      const storage = await Storage.open({ files, maxSegmentBytes: 300 });
      const config = { voters: ['a#1'], learners: [] };
      for (let index = 1; index <= 30; index += 1) {
        await storage.append({ group: index % 2, entries: [entry(Math.ceil(index / 2))] });
      }
      const before = storage.segmentCount;
      await storage.saveSnapshot(0, { index: 15, term: 1, config }, new Uint8Array([7]));
      t.is(storage.segmentCount, before);
      t.deepEqual(storage.groupsRetainingOldestSegment(), [1]);
      await storage.saveSnapshot(1, { index: 15, term: 1, config }, new Uint8Array([8]));
      t.true(storage.segmentCount < before);
      await storage.close();
      const reopened = await Storage.open({ files });
      const recovered = reopened.takeRecovered();
      t.deepEqual([...(recovered.get(0)?.snapshot.state ?? [])], [7]);
      t.deepEqual([...(recovered.get(1)?.snapshot.state ?? [])], [8]);
      await reopened.close();
    }),
  );
});

describe('lockFolder', () => {
  test(title('prevents a second lock until the first is released'), (t) =>
    withTemporaryFolder(async (folder) => {
      const release = await lockFolder(folder);
      const error = await t.throwsAsync(lockFolder(folder), { instanceOf: ShedlineError });
      t.regex(error.message, /in use by another process/);
      await release();
      await (
        await lockFolder(folder)
      )();
    }),
  );
});

describe('ItemFiles', () => {
  test(title('rejects a record that does not match its checksum'), (t) => {
    const files = new MemoryItemFiles();
    const end = files.writeRecord('job', 0, Buffer.from('first'));
    files.writeRecord('job', end, Buffer.from('second'));
    t.is(files.readRecord('job', end).toString(), 'second');
    files.writeRaw('job', end + 9, Buffer.from('X'));
    t.throws(() => files.readRecord('job', end), { message: /job at offset/ });
  });
});
