/**
 * A stand-in plain service that counts its calls.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { serve } from '@hono/node-server';
import type { ServerType } from '@hono/node-server';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { AddressInfo } from 'node:net';
import type { Announcement } from '@shedline/types';
import { Announcer } from './announcer.js';
import { parseFault } from './fault.js';

/** Options of {@link StandInService}. */
export interface StandInServiceOptions {
  readonly endpointId: string;
  /** Names of the served services, as `workspace/service`. */
  readonly services: readonly string[];
  readonly availabilityZone?: string;
  readonly host?: string;
  readonly port?: number;
  readonly entryUrls?: readonly string[];
  readonly token?: string;
  readonly announceIntervalMs?: number;
  readonly incarnation?: number;
}

const LATE_RESPONSE_DELAY_MS = 1500;
const HANG_DELAY_MS = 2 ** 30;

/** A stand-in service that listens on a port. */
export class StandInService {
  /** Number of calls by idempotency key. */
  readonly callsByKey = new Map<string, number>();
  private readonly options: StandInServiceOptions;
  private server: ServerType | undefined;
  private announcer: Announcer | undefined;
  private url = '';
  private sequence = 0;
  private callCount = 0;
  private leaving = false;

  constructor(options: StandInServiceOptions) {
    this.options = options;
  }

  /** Starts listening and announcing; returns the URL. */
  async start(): Promise<string> {
    const { host = '127.0.0.1', port = 0, entryUrls = [], token = '' } = this.options;
    const app = new Hono();
    app.all('*', (c) => this.respond(c));
    const info = await new Promise<AddressInfo>((resolve) => {
      this.server = serve({ fetch: app.fetch, hostname: host, port }, resolve);
    });
    this.url = `http://${host}:${info.port}`;
    if (entryUrls.length > 0) {
      this.announcer = new Announcer({
        entryUrls,
        token,
        intervalMs: this.options.announceIntervalMs ?? 1000,
        createAnnouncement: () => this.announcement(),
      });
      this.announcer.start();
    }
    return this.url;
  }

  /** Creates a heartbeat. */
  announcement(): Announcement {
    this.sequence += 1;
    return {
      endpointId: this.options.endpointId,
      incarnation: this.options.incarnation ?? 1,
      sequence: this.sequence,
      url: this.url,
      availabilityZone: this.options.availabilityZone ?? 'zone-1',
      kind: 'plain',
      models: [],
      services: this.options.services,
      load: { running: 0, waiting: 0, capacity: 64 },
      checksFencing: false,
      leaving: this.leaving,
    };
  }

  /** Announces that the service is draining. */
  async announceLeaving(): Promise<void> {
    this.leaving = true;
    await this.announcer?.announce();
  }

  /** Simulates a crash: resets every connection, stops listening and announcing. */
  crash(): void {
    this.announcer?.stop();
    const server = this.server;
    if (server !== undefined && 'closeAllConnections' in server) server.closeAllConnections();
    server?.close();
  }

  private async respond(c: Context): Promise<Response> {
    const body = await c.req.text();
    const key = c.req.header('idempotency-key') ?? `call-${this.callCount}`;
    this.callCount += 1;
    this.callsByKey.set(key, (this.callsByKey.get(key) ?? 0) + 1);
    const fault = parseFault(c.req.header('x-stand-in-fault'));
    if (fault?.kind === 'late') await pause(LATE_RESPONSE_DELAY_MS, undefined, { ref: false });
    if (fault?.kind === 'hang') await pause(HANG_DELAY_MS, undefined, { ref: false });
    if (fault?.kind === 'die') this.crash();
    if (fault?.kind === 'refuse') return c.json({ error: 'service failed' }, 500);
    const url = new URL(c.req.url);
    return c.json({
      call: this.callCount,
      method: c.req.method,
      path: url.pathname + url.search,
      body,
      echoedHeader: c.req.header('x-echo') ?? null,
    });
  }
}
