/**
 * The parts that every process of a fleet has: its membership in the mesh and a server for its peers.
 */
import { randomBytes } from 'node:crypto';
import type { FleetSettings } from '@shedline/config';
import { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import { Mesh } from '@shedline/mesh';
import type { MemberKind, MemberRecord, MeshOptions } from '@shedline/mesh';
import { PeerConnections, PeerServer } from '@shedline/transport';
import type { Link, LinkHandlers, PeerConnectionsOptions } from '@shedline/transport';
import { peerAddressOf, seedAddresses } from './ports.js';

const EPOCH_BYTES = 6;

/** Options of {@link ProcessCore}. */
export interface ProcessCoreOptions {
  readonly kind: MemberKind;
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly handlers: LinkHandlers;
  /** Additional fields of the member record of this kind of process. */
  readonly record?: Partial<MemberRecord>;
  readonly onMembersChange?: () => void;
  /** Called when a connection to a control process is established. */
  readonly onControlConnected?: (name: string) => void;
  /** See {@link MeshOptions.coreMembers}. */
  readonly coreMembers?: MeshOptions['coreMembers'];
}

/** Mesh and server of one process. */
export class ProcessCore {
  /** Name of the process in the fleet: its `host:port` for peers. */
  readonly name: string;
  readonly epoch = randomBytes(EPOCH_BYTES).toString('hex');
  readonly mesh: Mesh;
  readonly server: PeerServer;
  private readonly options: ProcessCoreOptions;
  private readonly peerOptions: Pick<PeerConnectionsOptions, 'secret' | 'localAddress'>;

  constructor(options: ProcessCoreOptions) {
    const { kind, settings, logger, nowMs, handlers } = options;
    this.options = options;
    const own = peerAddressOf(kind, settings.host, settings.firstPeerPort);
    this.name = own.name;
    const { listenHost } = settings;
    this.peerOptions = {
      secret: settings.fleetSecret,
      ...(listenHost === undefined ? {} : { localAddress: listenHost }),
    };
    this.mesh = new Mesh({
      record: {
        name: own.name,
        kind,
        host: own.host,
        port: own.port,
        instance: settings.instance,
        availabilityZone: settings.availabilityZone,
        epoch: this.epoch,
        ...options.record,
      },
      ...this.peerOptions,
      seeds: seedAddresses(settings.seeds, settings.firstPeerPort),
      logger,
      nowMs,
      handlers,
      ...(options.onMembersChange === undefined ? {} : { onChange: options.onMembersChange }),
      ...(options.onControlConnected === undefined
        ? {}
        : { onControlConnected: options.onControlConnected }),
      ...(options.coreMembers === undefined ? {} : { coreMembers: options.coreMembers }),
    });
    this.server = new PeerServer({
      name: own.name,
      secret: settings.fleetSecret,
      handlers: {
        onRequest: (method, payload, link) => handlers.onRequest(method, payload, link),
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link);
        },
      },
    });
  }

  /** Listens for peers; {@link start} announces the process to the fleet. */
  async listen(): Promise<void> {
    const { host, port } = this.mesh.self;
    await this.server.listen(this.options.settings.listenHost ?? host, port);
  }

  /** Creates connections of this process to some of its peers. */
  createPeerConnections(
    options: Pick<
      PeerConnectionsOptions,
      'handlers' | 'lingerMs' | 'silenceDetection' | 'firstRetryMs'
    > = {},
  ): PeerConnections {
    const { logger } = this.options;
    return new PeerConnections({
      name: this.name,
      ...this.peerOptions,
      onLost: (peer, loss) => {
        logger.info('connection to a peer lost', { step: 'peer', peer, ...loss });
      },
      ...options,
    });
  }

  /** Announces the process to the fleet. */
  start(): void {
    this.mesh.start();
  }

  /** Applies settings that changed while the process is running. */
  reload(settings: FleetSettings): void {
    this.mesh.setSeeds(seedAddresses(settings.seeds, settings.firstPeerPort));
    this.options.logger.info('settings reloaded', {
      step: 'reload',
      seeds: settings.seeds,
    });
  }

  /** Sends a one-way message to every process that is connected to this process. */
  broadcast(method: string, payload: unknown): void {
    for (const link of this.server.readyLinks) link.send(method, payload);
  }

  /** Announces the stop and closes all connections. */
  async stop(): Promise<void> {
    this.mesh.stop();
    await this.server.close();
  }

  /**
   * Creates the error of a request that this process cannot serve and that had no effect. `leader` is
   * the process that can serve it, if known.
   */
  unavailable(step: string, message: string, leader?: string): ShedlineError {
    return new ShedlineError({
      type: 'unavailable',
      message,
      step,
      peer: this.name,
      ran: 'no',
      ...(leader === undefined ? {} : { details: { leader } }),
    });
  }

  private onMessage(method: string, payload: unknown, link: Link): void {
    if (this.mesh.receive(method, payload, link)) return;
    this.options.handlers.onMessage(method, payload, link);
  }
}
