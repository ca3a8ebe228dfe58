/**
 * The endpoints of one test run: starts, crashes, hangs and drains them. Relays stand in front of
 * them if the run silences connections.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Successor } from './fault-plan.js';
import type { FleetAdapter, SoakEndpoint, SoakEndpointOptions } from './fleet-adapter.js';
import type { PromiseChecker } from './promise-checker.js';
import { Relay, NO_IMPAIRMENT } from './relay.js';
import { HEARTBEAT_MS } from './heartbeat-sender.js';
import type { HeartbeatSender } from './heartbeat-sender.js';

/** Time for which a leaving endpoint still serves requests. */
const DRAIN_MS = 3500;
/** Time until an endpoint restarts after a request content has crashed it. */
const CRASH_RESTART_MS = 1000;
const PORT = 8080;
const SOFTWARE_VERSIONS = ['v1', 'v2'];
/** Last octet of the first endpoint, above those of the processes and their relays. */
const FIRST_HOST = 200;
/** Distance from the host of a relay to that of the endpoint behind it. */
const PROCESS_HOST_OFFSET = 25;

/** Options of {@link EndpointSet}. */
export interface EndpointSetOptions {
  /** First three octets of the addresses. */
  readonly network: string;
  readonly adapter: FleetAdapter;
  readonly checker: PromiseChecker;
  readonly heartbeats: HeartbeatSender;
  readonly nowMs: () => number;
  /** Whether each endpoint is behind a relay. */
  readonly hasRelays: boolean;
}

/** Options of a new incarnation, which has a new id by default. */
type IncarnationOptions = Partial<Pick<SoakEndpointOptions, 'endpointId' | 'startupHealth'>>;

/** Endpoints by name. */
export class EndpointSet {
  private readonly options: EndpointSetOptions;
  private readonly endpoints = new Map<string, SoakEndpoint>();
  private readonly relays = new Map<string, Relay>();
  /** Endpoints that are being started. */
  private readonly starting = new Set<Promise<void>>();
  private incarnationCount = 0;
  private isClosed = false;

  constructor(options: EndpointSetOptions) {
    this.options = options;
  }

  /** Drops all further data of the open connections to endpoints, which stay open. */
  silenceOpen(): void {
    for (const relay of this.relays.values()) relay.silenceOpen();
  }

  /** Stops all endpoints and their relays; endpoints that are down do not restart. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all(this.starting);
    await Promise.all([...this.relays.values()].map((relay) => relay.close()));
    await Promise.all([...this.endpoints.values()].map((endpoint) => endpoint.crash()));
  }

  private announcedHost(name: string): string {
    return `${this.options.network}.${FIRST_HOST + numberOf(name)}`;
  }

  /** Returns the host on which an endpoint listens; starts a relay in front of it if required. */
  private async listenHost(name: string): Promise<string> {
    const { network, hasRelays } = this.options;
    const host = this.announcedHost(name);
    if (!hasRelays) return host;
    const processHost = `${network}.${FIRST_HOST + PROCESS_HOST_OFFSET + numberOf(name)}`;
    const relay = new Relay({ host, processHost, port: PORT }, () => NO_IMPAIRMENT);
    await relay.listen();
    this.relays.set(name, relay);
    return processHost;
  }

  /** Starts a new incarnation of an endpoint. */
  async start(name: string, options: IncarnationOptions = {}): Promise<void> {
    // An endpoint that crashed just before the close would restart and keep the process running.
    if (this.isClosed) return;
    const start = this.startIncarnation(name, options);
    this.starting.add(start);
    await start.finally(() => this.starting.delete(start));
  }

  private async startIncarnation(name: string, options: IncarnationOptions): Promise<void> {
    this.incarnationCount += 1;
    const incarnationName = `${name}-run-${this.incarnationCount}`;
    const endpoint = await this.options.adapter.startEndpoint({
      endpointId: incarnationName,
      ...options,
      startedAtMs: Date.now(),
      softwareVersion: softwareVersionOf(this.incarnationCount),
      incarnationName,
      announcedHost: this.announcedHost(name),
      host: await this.listenHost(name),
      port: PORT,
      onRun: (requestId, isOwnWorkspace) => {
        const { checker, nowMs } = this.options;
        checker.requestRan(requestId, incarnationName, nowMs());
        if (!isOwnWorkspace)
          checker.addViolation('requests run as their workspace', nowMs(), requestId);
      },
      onCrash: (content) => {
        if (this.endpoints.get(name)?.incarnationName !== incarnationName) return;
        this.options.checker.endpointCrashed(content, this.options.nowMs());
        void this.crash(name, CRASH_RESTART_MS);
      },
    });
    this.endpoints.set(name, endpoint);
    this.options.heartbeats.add(endpoint);
  }

  /** Resets all connections of an endpoint; it restarts as a new incarnation with the same id. */
  async crash(name: string, forMs: number): Promise<void> {
    const endpointId = await this.end(name);
    if (endpointId === undefined) return;
    await pause(forMs);
    await this.start(name, { endpointId });
  }

  /** Ends an endpoint without notice; its successor listens at its address at once. */
  async replace(name: string, { hasSameId, health }: Successor): Promise<void> {
    const endpointId = await this.end(name);
    if (endpointId === undefined) return;
    await this.start(name, { startupHealth: health, ...(hasSameId ? { endpointId } : {}) });
  }

  /** Ends an endpoint without notice and returns its id; undefined if it is down. */
  private async end(name: string): Promise<string | undefined> {
    const endpoint = this.endpoints.get(name);
    if (endpoint === undefined) return undefined;
    // Another fault may hit it while it is down.
    this.endpoints.delete(name);
    this.options.heartbeats.remove(endpoint.endpointId);
    await this.shutDown(name, endpoint);
    return endpoint.endpointId;
  }

  private async shutDown(name: string, endpoint: SoakEndpoint): Promise<void> {
    await endpoint.crash();
    await this.relays.get(name)?.close();
    this.relays.delete(name);
  }

  /** Makes an endpoint unresponsive for a time. */
  async hang(name: string, forMs: number): Promise<void> {
    const endpoint = this.endpoints.get(name);
    endpoint?.setHanging(true);
    await pause(forMs);
    endpoint?.setHanging(false);
  }

  /** Drains an endpoint and starts it again, every second time with the same id. */
  async leave(name: string): Promise<void> {
    const endpoint = this.endpoints.get(name);
    if (endpoint === undefined) return;
    this.options.heartbeats.remove(endpoint.endpointId);
    const isAcknowledged = await this.options.heartbeats.send(endpoint, true);
    if (isAcknowledged)
      this.options.checker.endpointLeft(endpoint.incarnationName, this.options.nowMs());
    // It keeps reporting the drain while it serves requests in progress.
    const untilMs = this.options.nowMs() + DRAIN_MS;
    while (this.options.nowMs() < untilMs) {
      await this.options.heartbeats.send(endpoint, true);
      await pause(HEARTBEAT_MS);
    }
    if (this.endpoints.get(name) !== endpoint) return;
    this.endpoints.delete(name);
    await this.shutDown(name, endpoint);
    const { endpointId } = endpoint;
    await this.start(name, this.incarnationCount % 2 === 0 ? { endpointId } : {});
  }
}

/** Versions serve side by side, and an endpoint may restart under its id as another one. */
function softwareVersionOf(incarnation: number): string {
  return SOFTWARE_VERSIONS[incarnation % SOFTWARE_VERSIONS.length] ?? '';
}

function numberOf(name: string): number {
  return Number(name.split('-')[1]);
}
