import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { ControlClient, RemoteControlPort } from '@shedline/control-client';
import { ProcessFleet, describe, title } from '@shedline/test-utils';

const BIN = fileURLToPath(new URL('./bin.js', import.meta.url));

function createClient(fleet: ProcessFleet): ControlClient {
  const ports = fleet.controlPeers.map(
    (peer) => new RemoteControlPort({ name: 'tester', secret: fleet.secret, peer }),
  );
  return new ControlClient({ ports, timeoutMs: 20_000 });
}

async function edit(client: ControlClient, number: number): Promise<number> {
  const answer = await client.proposeEdit({
    type: 'editRow',
    editId: `edit-${number}`,
    contentHash: `edit-${number}`,
    expectedRevision: number,
    workspace: 'w',
    service: `s${number % 5}`,
    change: { kind: 'plain', weight: number + 1 },
  });
  if (answer.outcome !== 'accepted') throw new Error(`edit ${number}: ${answer.message}`);
  return answer.revision;
}

async function leaderOf(client: ControlClient): Promise<string> {
  const statuses = await client.statuses();
  const groups = statuses.flatMap((status) => status.groups).filter(({ group }) => group === 0);
  const leading = groups.sort((a, b) => b.term - a.term).find(({ role }) => role === 'leader');
  return leading?.leader ?? '';
}

/** Waits until all three groups have `count` voters, without the member `removedId`. */
async function waitUntilVoters(
  client: ControlClient,
  count: number,
  removedId: string,
): Promise<void> {
  const deadlineMs = Date.now() + 30_000;
  while (Date.now() < deadlineMs) {
    const statuses = await client.statuses();
    const leading = statuses
      .flatMap((status) => status.groups)
      .filter(({ role }) => role === 'leader');
    const isRepaired = leading.every(
      ({ voters }) => voters.length === count && !voters.includes(removedId),
    );
    if (leading.length === 3 && isRepaired) return;
    await pause(100);
  }
  throw new Error('the groups did not get their full set of voters before the timeout');
}

describe('control instances as processes', () => {
  test.serial(
    title(
      'no acknowledged edit is lost when leaders are killed, frozen, and lose their data directory',
    ),
    async (t) => {
      const fleet = await ProcessFleet.create({
        bin: BIN,
        controls: 3,
        entries: 0,
        control: {
          jobGroupCount: 2,
          voterCount: 3,
          electionTimeoutMs: 300,
          heartbeatIntervalMs: 60,
        },
      });
      await fleet.startAll();
      const client = createClient(fleet);
      let revision = 0;
      const editMany = async (count: number): Promise<void> => {
        for (let n = 0; n < count; n += 1) revision = await edit(client, revision);
      };
      try {
        await editMany(50);
        const first = await leaderOf(client);
        await fleet.kill(first);
        await editMany(150);
        await fleet.start(first);
        await editMany(20);
        const frozen = await leaderOf(client);
        fleet.setFrozen(frozen, true);
        await editMany(20);
        fleet.setFrozen(frozen, false);
        await editMany(20);
        const second = await leaderOf(client);
        const wipedId =
          (await client.statuses()).find(({ instance }) => instance === second)?.memberId ?? '';
        await fleet.kill(second);
        await fleet.removeDataDir(second);
        await fleet.start(second);
        await waitUntilVoters(client, 3, wipedId);
        const third = await leaderOf(client);
        await fleet.kill(third);
        await editMany(20);
        const table = await client.table(-1);
        t.is(table.revision, 280);
        t.deepEqual(
          table.rows.map((row) => row.weight).sort((a, b) => a - b),
          [276, 277, 278, 279, 280],
        );
        t.is(await edit(client, 17).catch(() => 0), 18, 'a resent edit gets its original response');
      } finally {
        client.close();
        await fleet.close();
      }
    },
  );
});
