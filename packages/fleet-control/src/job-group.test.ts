import { mkdtemp, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { unpack } from 'msgpackr';
import { GroupNode, createCluster } from '@shedline/control';
import type { GroupHost } from '@shedline/control';
import { ShedlineError } from '@shedline/errors';
import { createLogger } from '@shedline/logger';
import { MemoryItemFiles } from '@shedline/storage';
import type { ItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections } from '@shedline/transport';
import { WholeJobs } from '@shedline/whole-jobs';
import type { WholeJobCommand } from '@shedline/whole-jobs';
import { WholeJobStateMachine } from './group-state-machines.js';

const GROUP = 1;
const STORE = '10.0.0.1:7722';
const RETENTION_MS = 120_000;
const POLL_MS = 5;

function submission(jobId: string): WholeJobCommand {
  return {
    type: 'submitJob',
    atMs: 0,
    jobId,
    host: 'h',
    path: '/p/',
    quotaKey: 'key',
    maxWaitingTokens: 0,
    resultsDueMs: 18_000,
    keepItemsMs: 60_000,
    maxAttempts: 2,
    items: [{ itemId: `${jobId}-0`, path: '/p/x', headers: [], body: Buffer.from('b'), tokens: 1 }],
  };
}

function completion(jobId: string): WholeJobCommand {
  const finished = [{ jobId, index: 0, state: 'complete' as const, text: 'done' }];
  return { type: 'commitRuns', atMs: 10, holder: 'h', returned: [], failed: [], finished };
}

const SWEEP: WholeJobCommand = { type: 'sweep', atMs: RETENTION_MS, retentionMs: RETENTION_MS };

interface Member {
  readonly node: GroupNode;
  readonly host: GroupHost;
}

/** Starts the only member of a group, and waits until it leads and has applied its log. */
async function startMember(
  dataDir: string,
  filesOf: (files: ItemFiles) => ItemFiles = (files) => files,
): Promise<Member> {
  const logger = createLogger({ level: 'silent' });
  const nowMs = (): number => performance.now();
  const node = new GroupNode({
    name: STORE,
    settings: {
      dataDir,
      voterCount: 1,
      electionTimeoutMs: 100,
      heartbeatIntervalMs: 30,
      replaceAfterMs: 60_000,
      snapshotAfterBytes: 1024 * 1024,
    },
    role: {
      firstGroup: GROUP,
      createMachine: (_group, files) => new WholeJobStateMachine(filesOf(files), () => undefined),
      findCluster: ({ memberId }) =>
        Promise.resolve(createCluster([memberId], { jobGroupCount: GROUP, voterCount: 1 })),
      roleChanged: () => undefined,
      leaderTick: () => undefined,
      housekeep: () => undefined,
    },
    peers: new PeerConnections({ name: STORE, secret: 'secret' }),
    logger,
    random: Math.random,
    nowMs,
  });
  await node.open();
  await node.join();
  const host = node.hosts.get(GROUP);
  while (host?.isLeader !== true) await pause(POLL_MS);
  await host.confirmLeadership();
  return { node, host };
}

function jobCount({ machine }: GroupHost): number {
  return machine instanceof WholeJobStateMachine ? [...machine.jobs.all].length : NaN;
}

/** Files of the group's jobs in a data folder. */
async function itemFiles(dataDir: string): Promise<string[]> {
  return (await readdir(join(dataDir, `items-${GROUP}`))).sort();
}

/** Starts a member, and removes a job that its latest snapshot has. */
async function startWithRemovedJob(t: ExecutionContext): Promise<Member & { folder: string }> {
  const folder = await mkdtemp(join(tmpdir(), 'shedline-released-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const member = await startMember(folder);
  await member.host.propose(submission('a'));
  await member.host.takeSnapshot();
  await member.host.propose(completion('a'));
  await member.host.propose(SWEEP);
  t.is(jobCount(member.host), 0);
  return { ...member, folder };
}

describe('a job that was removed after the latest snapshot', () => {
  // Guards against a log that cannot be applied again, because files that it reads are gone.
  test(title('does not keep its store from starting again'), async (t) => {
    t.timeout(30_000);
    const { node, folder } = await startWithRemovedJob(t);
    await node.stop();
    const again = await startMember(folder);
    t.is(jobCount(again.host), 0);
    await again.node.stop();
  });

  // Guards against a snapshot that is handed to another store without the files that it refers to.
  test(title('is copied whole with that snapshot'), async (t) => {
    t.timeout(30_000);
    const { node, host } = await startWithRemovedJob(t);
    const { snapshot, files } = await host.manifest();
    const copied = new Set(files.map(({ file }) => file));
    host.machine.restore(snapshot.state);
    for (const { file } of host.machine.fileSizes()) t.true(copied.has(file), file);
    await node.stop();
  });

  test(title('keeps its files until a snapshot without it is stored'), async (t) => {
    t.timeout(30_000);
    const { node, host, folder } = await startWithRemovedJob(t);
    t.is((await itemFiles(folder)).length, 2);
    await host.takeSnapshot();
    t.deepEqual(await itemFiles(folder), []);
    await node.stop();
  });
});

/** Files whose disk is full from a write on. */
class FullDisk implements ItemFiles {
  /** Number of writes until the disk is full. */
  writesLeft = Infinity;
  private readonly inner: ItemFiles;

  constructor(inner: ItemFiles) {
    this.inner = inner;
  }

  get released(): readonly string[] {
    return this.inner.released;
  }

  writeRecord(file: string, offset: number, body: Uint8Array): number {
    if (this.writesLeft <= 0) {
      this.inner.writeRaw(file, offset, body.subarray(0, body.length / 2));
      const message = 'ENOSPC: no space left on device, write';
      throw Object.assign(new Error(message), { code: 'ENOSPC', syscall: 'write' });
    }
    this.writesLeft -= 1;
    return this.inner.writeRecord(file, offset, body);
  }

  readRecord(file: string, offset: number): Buffer {
    return this.inner.readRecord(file, offset);
  }

  sizeBytes(file: string): number {
    return this.inner.sizeBytes(file);
  }

  readRaw(file: string, offset: number, sizeBytes: number): Buffer {
    return this.inner.readRaw(file, offset, sizeBytes);
  }

  writeRaw(file: string, offset: number, bytes: Uint8Array): void {
    this.inner.writeRaw(file, offset, bytes);
  }

  sync(): Promise<void> {
    return this.inner.sync();
  }

  release(file: string): void {
    this.inner.release(file);
  }

  removeReleased(files: readonly string[]): void {
    this.inner.removeReleased(files);
  }
}

/** Proposes a command until the group has applied it. */
async function commit(host: GroupHost, command: WholeJobCommand): Promise<void> {
  for (;;) {
    try {
      await host.propose(command);
      return;
    } catch (error) {
      if (!(error instanceof ShedlineError)) throw error;
      await pause(POLL_MS);
    }
  }
}

/** State and results of jobs. */
function contentsOf(jobs: WholeJobs): unknown {
  const results = [...jobs.all].map(({ identity }) => jobs.results(identity.jobId, 0, Infinity));
  return structuredClone([jobs.toData(), results]);
}

/** What the committed log of a group leads to where all writes succeed. */
function expectedContents(host: GroupHost): unknown {
  const jobs = new WholeJobs(new MemoryItemFiles());
  for (const { kind, data, index } of host.consensus.committedEntriesAfter(0))
    if (kind === 'command') jobs.apply(unpack(data) as WholeJobCommand, index);
  return contentsOf(jobs);
}

const COMMANDS = [
  submission('a'),
  submission('b'),
  {
    ...completion('a'),
    failed: [{ jobId: 'b', index: 0, runId: 'run 1' }],
  } as WholeJobCommand,
  {
    type: 'commitRuns',
    atMs: 10,
    holder: 'h',
    finished: [],
    // The second failure gives the item up, which is written as its result.
    failed: [{ jobId: 'b', index: 0, runId: 'run 2' }],
    returned: [],
  } as WholeJobCommand,
  submission('c'),
];
const WRITES = 5;
/** Long enough for an attempt to rebuild the state that fails as well. */
const STILL_FULL_MS = 300;

describe('a job group whose disk is full while it applies a command', () => {
  for (let writes = 0; writes < WRITES; writes += 1) {
    for (const hasSnapshot of [false, true]) {
      const from = hasSnapshot ? 'a snapshot' : 'its log';
      // Guards against a member that goes on without the effect of a command.
      test(title(`does not lose its effect (from write ${writes} on, from ${from})`), async (t) => {
        t.timeout(30_000);
        const folder = await mkdtemp(join(tmpdir(), 'shedline-full-'));
        t.teardown(() => rm(folder, { recursive: true }));
        const disks: FullDisk[] = [];
        const { node, host } = await startMember(folder, (files) => {
          const disk = new FullDisk(files);
          disks.push(disk);
          return disk;
        });
        const [disk] = disks;
        if (disk === undefined) throw new Error('the member has no files');
        await commit(host, submission('first'));
        if (hasSnapshot) await host.takeSnapshot();
        disk.writesLeft = writes;
        const committed = (async () => {
          for (const command of COMMANDS) await commit(host, command);
        })();
        while (!host.isRebuilding) await pause(POLL_MS);
        t.false(host.isLeader);
        await t.throwsAsync(host.confirmLeadership(), { instanceOf: ShedlineError });
        await t.throwsAsync(host.manifest(), { instanceOf: ShedlineError });
        await pause(STILL_FULL_MS);
        disk.writesLeft = Infinity;
        await committed;
        if (!(host.machine instanceof WholeJobStateMachine)) throw new Error('other machine');
        t.deepEqual(contentsOf(host.machine.jobs), expectedContents(host));
        await node.stop();
      });
    }
  }
});
