/**
 * A complete fleet in one process: a control instance, an entry, a stand-in engine and a
 * stand-in plain service.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { randomBytes } from 'node:crypto';
import { checkSettings } from '@shedline/config';
import type { Settings } from '@shedline/config';
import { ControlClient } from '@shedline/control-client';
import { ControlNode } from '@shedline/control';
import { EntryNode } from '@shedline/entry';
import { createLogger } from '@shedline/logger';
import type { LogLevel, Logger } from '@shedline/logger';
import { StandInEngine, StandInService } from '@shedline/stand-ins';
import { sha256Hex } from '@shedline/types';

/** The token that `shedline dev` accepts for all roles; no other command accepts it. */
export const DEV_TOKEN = 'dev';
const DEV_WORKSPACE = 'demo';
const DEV_MODEL = 'demo-model';
const HOST = '127.0.0.1';
const POLL_INTERVAL_MS = 10;
const DEV_ENGINE_CAPACITY = 64;
/** Timing of a small, fast engine, so that a first job finishes soon. */
const DEV_ENGINE_TIMES = {
  stepMs: 4,
  perSequenceMs: 0.1,
  perPrefillTokenMs: 0.01,
  prefillTokensPerStep: 2048,
};

/** Options of {@link DevFleet}. */
export interface DevFleetOptions {
  readonly port: number;
  readonly dataDir: string;
  readonly logLevel?: LogLevel;
}

/** Runs all parts of `shedline dev`. */
export class DevFleet {
  readonly logger: Logger;
  private engine: StandInEngine | undefined;
  private service: StandInService | undefined;
  private readonly zone: string;
  private readonly control: ControlNode;
  private readonly entry: EntryNode;
  private readonly client: ControlClient;

  constructor(options: DevFleetOptions) {
    const settings = devSettings(options);
    if (settings.control === undefined || settings.entry === undefined) {
      throw new Error('dev settings must have both roles');
    }
    this.zone = settings.availabilityZone;
    this.logger = createLogger({ level: settings.logLevel, instance: settings.name });
    this.control = new ControlNode({ settings, control: settings.control, logger: this.logger });
    this.client = new ControlClient({ ports: [this.control.port] });
    this.entry = new EntryNode({
      settings,
      entry: settings.entry,
      control: this.client,
      logger: this.logger,
    });
  }

  /** Address for callers. */
  get url(): string {
    return this.entry.address;
  }

  /** Starts all parts; returns once both stand-ins can serve requests. */
  async start(): Promise<void> {
    await this.control.start();
    await this.prepareTable();
    await this.entry.start();
    await this.startStandIns();
    while (!this.isServing()) await pause(POLL_INTERVAL_MS);
  }

  /** Stops all parts after the open requests have finished. */
  async stop(): Promise<void> {
    await this.entry.drain();
    this.engine?.crash();
    this.service?.crash();
    await this.control.stop();
  }

  private async startStandIns(): Promise<void> {
    const common = {
      entryUrls: [this.url],
      token: DEV_TOKEN,
      availabilityZone: this.zone,
      // A restarted stand-in announces a new incarnation, as a restarted engine does.
      incarnation: Date.now(),
    };
    this.engine = new StandInEngine({
      endpointId: 'engine-1',
      models: [DEV_MODEL],
      times: DEV_ENGINE_TIMES,
      capacity: DEV_ENGINE_CAPACITY,
      ...common,
    });
    const services = [`${DEV_WORKSPACE}/ledger`];
    this.service = new StandInService({ endpointId: 'ledger-1', services, ...common });
    await this.engine.start();
    await this.service.start();
  }

  private isServing(): boolean {
    const nowMs = performance.now();
    const { endpoints } = this.entry.fleet;
    return endpoints.isUsable('engine-1', nowMs) && endpoints.isUsable('ledger-1', nowMs);
  }

  /** Fills the table on the first start; later starts find it in the data directory. */
  private async prepareTable(): Promise<void> {
    const table = await this.client.table(-1);
    if (table.revision > 0) return;
    await this.client.proposeEdit({
      type: 'replaceTable',
      editId: 'dev-table',
      contentHash: 'dev-table',
      expectedRevision: 0,
      models: [DEV_MODEL],
      rows: [
        {
          workspace: DEV_WORKSPACE,
          service: 'chat',
          change: { kind: 'engine', models: [DEV_MODEL] },
        },
        {
          workspace: DEV_WORKSPACE,
          service: 'ledger',
          change: { kind: 'plain', idempotent: false },
        },
      ],
    });
  }
}

function devSettings(options: DevFleetOptions): Settings {
  const tokenSha256 = sha256Hex(DEV_TOKEN);
  const checked = checkSettings(
    {
      name: 'dev',
      availabilityZone: 'zone-1',
      logLevel: options.logLevel ?? 'warn',
      instanceSecret: randomBytes(24).toString('hex'),
      tokens: [
        { role: 'caller', workspace: DEV_WORKSPACE, tokenSha256 },
        { role: 'operator', tokenSha256 },
        { role: 'endpoint', tokenSha256 },
      ],
      control: {
        listenHost: HOST,
        listenPort: 0,
        dataDir: options.dataDir,
        peers: [{ name: 'dev', host: HOST, port: 0 }],
        bootstrapMembers: ['dev'],
        jobGroupCount: 2,
        voterCount: 1,
        electionTimeoutMs: 300,
      },
      entry: {
        listenHost: HOST,
        listenPort: options.port,
        controls: [],
        tableRefreshIntervalMs: 200,
      },
    },
    'dev settings',
  );
  if (checked.isErr) throw checked.error;
  return checked.value;
}
