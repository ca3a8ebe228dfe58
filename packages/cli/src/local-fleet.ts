/**
 * A small fleet inside the test process: one control instance, entries and stand-in engines.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ShedlineClient } from '@shedline/client';
import { checkSettings } from '@shedline/config';
import type { Settings } from '@shedline/config';
import { ControlClient } from '@shedline/control-client';
import { ControlNode } from '@shedline/control';
import { EntryNode } from '@shedline/entry';
import { createLogger } from '@shedline/logger';
import { StandInEngine } from '@shedline/stand-ins';
import type { StandInEngineOptions } from '@shedline/stand-ins';
import { FLEET_TOKENS, FLEET_WORKSPACE, freePorts } from '@shedline/test-utils';
import { sha256Hex } from '@shedline/types';

const HOST = '127.0.0.1';
const MODEL = 'demo-model';

/** Options of {@link LocalFleet.start}. */
export interface LocalFleetOptions {
  readonly entries?: number;
  readonly engines?: number;
  /** Additional options of every engine. */
  readonly engine?: Partial<StandInEngineOptions>;
  /** Additional fields of the table row `demo/chat`. */
  readonly row?: Readonly<Record<string, unknown>>;
  /** Additional settings of every entry. */
  readonly entry?: Readonly<Record<string, unknown>>;
}

/** Runs all processes that a test of the online path needs. */
export class LocalFleet {
  readonly engines: StandInEngine[] = [];
  entries: EntryNode[] = [];
  private readonly control: ControlNode;
  private readonly controlClient: ControlClient;
  private readonly settings: readonly Settings[];
  private readonly folder: string;
  private readonly options: LocalFleetOptions;

  private constructor(options: LocalFleetOptions, folder: string, ports: readonly number[]) {
    this.options = options;
    this.folder = folder;
    const count = options.entries ?? 1;
    const peers = Array.from({ length: count }, (_, index) => ({
      name: `entry-${index + 1}`,
      host: HOST,
      port: ports[index] ?? 0,
    }));
    this.settings = peers.map((peer) => entrySettings(peer, peers, folder, options.entry ?? {}));
    const first = this.settings[0];
    if (first?.control === undefined) throw new Error('a fleet must have at least one entry');
    const logger = createLogger({ level: 'silent' });
    this.control = new ControlNode({ settings: first, control: first.control, logger });
    this.controlClient = new ControlClient({ ports: [this.control.port] });
  }

  /** Starts a fleet that serves `demo/chat`. */
  static async start(options: LocalFleetOptions = {}): Promise<LocalFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'shedline-local-'));
    const fleet = new LocalFleet(options, folder, await freePorts(options.entries ?? 1));
    await fleet.control.start();
    await fleet.prepareTable();
    for (const settings of fleet.settings) await fleet.startEntry(settings);
    for (let number = 1; number <= (options.engines ?? 1); number += 1)
      await fleet.addEngine(number);
    await fleet.waitUntilUsable(options.engines ?? 1);
    return fleet;
  }

  /** Addresses of the entries. */
  get urls(): string[] {
    return this.entries.map((entry) => entry.address);
  }

  /** Creates a client with the caller token of workspace `demo`. */
  createCaller(): ShedlineClient {
    return new ShedlineClient({ urls: this.urls, token: FLEET_TOKENS.caller });
  }

  /** Creates a client with the operator token. */
  createOperator(): ShedlineClient {
    return new ShedlineClient({ urls: this.urls, token: FLEET_TOKENS.operator });
  }

  /** Starts an additional engine. */
  async addEngine(
    number: number,
    options: Partial<StandInEngineOptions> = {},
  ): Promise<StandInEngine> {
    const engine = new StandInEngine({
      endpointId: `engine-${number}`,
      models: [MODEL],
      entryUrls: this.urls,
      token: FLEET_TOKENS.endpoint,
      announceIntervalMs: 200,
      ...this.options.engine,
      ...options,
    });
    await engine.start();
    this.engines.push(engine);
    return engine;
  }

  /** Waits until every entry sees exactly `count` usable engines. */
  async waitUntilUsable(count: number): Promise<void> {
    const usableCount = (entry: EntryNode): number =>
      entry.fleet.endpoints.forModel(MODEL, performance.now()).length;
    while (!this.entries.every((entry) => usableCount(entry) === count)) {
      await pause(20);
    }
  }

  /** Restarts a drained entry with the same name and address. */
  async restartEntry(index: number): Promise<void> {
    const settings = this.settings[index];
    const port = Number(new URL(this.urls[index] ?? '').port);
    if (settings?.entry === undefined) return;
    const entry = { ...settings.entry, listenPort: port };
    this.entries[index] = await this.createEntry({ ...settings, entry });
  }

  /** Stops all parts without draining them, and removes the data directory. */
  async close(): Promise<void> {
    for (const engine of this.engines) engine.crash();
    await Promise.all(this.entries.map((entry) => entry.kill()));
    await this.control.stop();
    await rm(this.folder, { recursive: true });
  }

  private async startEntry(settings: Settings): Promise<void> {
    this.entries.push(await this.createEntry(settings));
  }

  private async createEntry(settings: Settings): Promise<EntryNode> {
    if (settings.entry === undefined) throw new Error('the settings have no entry section');
    const logger = createLogger({ level: 'silent' });
    const entry = new EntryNode({
      settings,
      entry: settings.entry,
      control: this.controlClient,
      logger,
    });
    await entry.start();
    return entry;
  }

  private async prepareTable(): Promise<void> {
    await this.controlClient.proposeEdit({
      type: 'replaceTable',
      editId: 'start',
      contentHash: 'start',
      expectedRevision: 0,
      models: [MODEL],
      rows: [
        {
          workspace: FLEET_WORKSPACE,
          service: 'chat',
          change: { models: [MODEL], ...this.options.row },
        },
      ],
    });
  }
}

function entrySettings(
  peer: { name: string; port: number },
  peers: readonly { name: string; host: string; port: number }[],
  folder: string,
  entry: Readonly<Record<string, unknown>>,
): Settings {
  const hash = (token: string): string => sha256Hex(token);
  const checked = checkSettings(
    {
      name: peer.name,
      availabilityZone: 'zone-1',
      logLevel: 'silent',
      instanceSecret: 'secret-of-the-local-fleet',
      tokens: [
        { role: 'caller', workspace: FLEET_WORKSPACE, tokenSha256: hash(FLEET_TOKENS.caller) },
        { role: 'caller', workspace: 'other', tokenSha256: hash('other-token') },
        { role: 'operator', tokenSha256: hash(FLEET_TOKENS.operator) },
        { role: 'endpoint', tokenSha256: hash(FLEET_TOKENS.endpoint) },
      ],
      control: {
        listenPort: 0,
        dataDir: join(folder, 'control'),
        peers: [{ name: peer.name, host: HOST, port: 0 }],
        bootstrapMembers: [peer.name],
        jobGroupCount: 2,
        voterCount: 1,
      },
      entry: {
        listenPort: 0,
        peerListenPort: peer.port,
        peers,
        controls: [],
        keepForMs: 400,
        tableRefreshIntervalMs: 100,
        endpointLeaseMs: 1000,
        ...entry,
      },
    },
    'local fleet',
  );
  if (checked.isErr) throw checked.error;
  return checked.value;
}
