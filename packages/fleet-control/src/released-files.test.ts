import { mkdtemp, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { GroupNode, createCluster } from '@shedline/control';
import type { GroupHost } from '@shedline/control';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections } from '@shedline/transport';
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
async function startMember(dataDir: string): Promise<Member> {
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
      createMachine: (_group, files) => new WholeJobStateMachine(files, () => undefined),
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
