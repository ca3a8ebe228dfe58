import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { checkSettings } from '@shedline/config';
import { ControlClient } from '@shedline/control-client';
import type { ControlPort } from '@shedline/control-client';
import { createLogger } from '@shedline/logger';
import { PartitionRelay, describe, freePorts, title } from '@shedline/test-utils';
import { ControlNode } from './control-node.js';

const NAMES = ['a', 'b', 'c'];
const HOST = '127.0.0.1';

/** Three control nodes that can be partitioned from each other. */
class ThreeNodeCluster {
  readonly nodes = new Map<string, ControlNode>();
  private readonly relays = new Map<string, PartitionRelay>();
  private folder = '';

  async start(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'shedline-trio-'));
    let ports: readonly number[] = [];
    for (const from of NAMES) {
      for (const [index, to] of NAMES.entries()) {
        if (from !== to)
          this.relays.set(`${from}>${to}`, await PartitionRelay.start(() => ports[index] ?? 0));
      }
    }
    ports = await freePorts(NAMES.length);
    for (const [index, name] of NAMES.entries())
      this.nodes.set(name, this.create(name, ports[index] ?? 0));
    await Promise.all([...this.nodes.values()].map((node) => node.start()));
  }

  client(names: readonly string[]): ControlClient {
    const ports = names.flatMap((name): ControlPort[] => {
      const node = this.nodes.get(name);
      return node === undefined ? [] : [node.port];
    });
    return new ControlClient({ ports, timeoutMs: 5000 });
  }

  leader(): string {
    const leading = [...this.nodes].filter(
      ([, node]) => node.status().groups[0]?.role === 'leader',
    );
    leading.sort(
      ([, a], [, b]) => (b.status().groups[0]?.term ?? 0) - (a.status().groups[0]?.term ?? 0),
    );
    return leading[0]?.[0] ?? '';
  }

  /** Partitions a node from the majority without closing connections, or reconnects it. */
  setPartitioned(name: string, isPartitioned: boolean): void {
    for (const [link, relay] of this.relays) {
      if (link.split('>').includes(name)) relay.setPartitioned(isPartitioned);
    }
  }

  async close(): Promise<void> {
    for (const node of this.nodes.values()) node.kill();
    await Promise.all([...this.nodes.values()].map((node) => node.stop()));
    await Promise.all([...this.relays.values()].map((relay) => relay.close()));
    await rm(this.folder, { recursive: true });
  }

  private create(name: string, listenPort: number): ControlNode {
    const peers = NAMES.map((peer) => ({
      name: peer,
      host: HOST,
      port: this.relays.get(`${name}>${peer}`)?.port ?? listenPort,
    }));
    const checked = checkSettings(
      {
        name,
        availabilityZone: 'z',
        instanceSecret: 'secret-of-the-trio',
        control: {
          listenPort,
          dataDir: join(this.folder, name),
          peers,
          bootstrapMembers: NAMES,
          jobGroupCount: 1,
          voterCount: 3,
          electionTimeoutMs: 300,
          heartbeatIntervalMs: 60,
        },
      },
      name,
    );
    if (checked.isErr || checked.value.control === undefined) throw new Error('bad settings');
    const settings = checked.value;
    const logger = createLogger({ level: 'silent' });
    return new ControlNode({ settings, control: checked.value.control, logger });
  }
}

function edit(client: ControlClient, number: number): Promise<unknown> {
  return client.proposeEdit({
    type: 'editRow',
    editId: `e${number}`,
    contentHash: `e${number}`,
    expectedRevision: number,
    workspace: 'w',
    service: 's',
    change: { kind: 'plain', weight: number + 1 },
  });
}

describe('a control node in a network partition', () => {
  test(
    title('rejects edits and reads, and catches up after hundreds of edits without a new election'),
    async (t) => {
      const cluster = new ThreeNodeCluster();
      await cluster.start();
      try {
        const client = cluster.client(NAMES);
        for (let n = 0; n < 10; n += 1) await edit(client, n);
        const partitioned = cluster.leader();
        const majority = NAMES.filter((name) => name !== partitioned);
        cluster.setPartitioned(partitioned, true);
        const isolatedClient = cluster.client([partitioned]);
        await t.throwsAsync(edit(isolatedClient, 10));
        await t.throwsAsync(isolatedClient.table(-1));
        await t.throwsAsync(isolatedClient.inForce(1));
        const majorityClient = cluster.client(majority);
        for (let n = 10; n < 310; n += 1) await edit(majorityClient, n);
        const leader = cluster.leader();
        t.true(majority.includes(leader));
        const term = cluster.nodes.get(leader)?.status().groups[0]?.term;
        cluster.setPartitioned(partitioned, false);
        const applied = (): number =>
          cluster.nodes.get(partitioned)?.status().groups[0]?.appliedIndex ?? 0;
        const target = cluster.nodes.get(leader)?.status().groups[0]?.appliedIndex ?? 0;
        for (let waited = 0; applied() < target && waited < 400; waited += 1) await pause(50);
        t.true(applied() >= target);
        t.is(cluster.leader(), leader);
        t.is(cluster.nodes.get(leader)?.status().groups[0]?.term, term);
        const table = await cluster.client([partitioned, ...majority]).table(-1);
        t.is(table.revision, 310);
      } finally {
        await cluster.close();
      }
    },
  );
});
