/**
 * Keeps an entry's knowledge of the fleet fresh: it asks control processes for what is new and
 * takes what they push. Before its first answer it asks the quorum, so that a process that just
 * started obeys nothing older than what was acknowledged.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GroupCaller } from '@shedline/control-client';
import { FLEET_GROUP } from '@shedline/fleet-control';
import type { RefreshAnswer, RefreshRequest, StateAnswer } from '@shedline/fleet-control';
import { KnownFleet } from '@shedline/fleet';
import type { AgedHeartbeat, FleetDelta } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { CrashChanges } from '@shedline/quarantine';
import type { PeerConnections, PeerClient } from '@shedline/transport';
import { StateFreshness } from './state-freshness.js';

/** Time between looks; a change is in force well within the two seconds that operators allow. */
const REFRESH_INTERVAL_MS = 300;
/** Time between the first looks for endpoints; grows until it is the usual one. */
const FIRST_LOOK_PAUSE_MS = 40;
const LOOK_PAUSE_GROWTH = 1.25;
const REFRESH_TIMEOUT_MS = 700;
const FIRST_READ_TIMEOUT_MS = 1500;
const FIRST_READ_PAUSE_MS = 20;
/**
 * Looks of which one asks a further control process: the near one may be cut off from the
 * others. The interval of heartbeats, so that no endpoint is missed for longer.
 */
const LOOKS_PER_CROSS_CHECK = 4;

/** News kept until the first read; what is lost with the oldest is asked for. */
const MAX_EARLY_NEWS = 64;

/** Options of {@link FleetFollower}. */
export interface FleetFollowerOptions {
  readonly controls: PeerConnections;
  readonly caller: GroupCaller;
  /** Whether a control process stands in the availability zone of this entry. */
  readonly isNear: (control: string) => boolean;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onHeartbeats: (heartbeats: readonly AgedHeartbeat[]) => void;
  readonly onLeaving: (endpointIds: readonly string[]) => void;
  /** Called with news of the contents under which endpoints have ended. */
  readonly onCrashes: (changes: CrashChanges, from: string) => void;
  /** Called when other routes are in force. */
  readonly onRoutes: () => void;
}

/** What an entry knows of the fleet, and how fresh it is. */
export class FleetFollower {
  readonly fleet = new KnownFleet();
  private readonly options: FleetFollowerOptions;
  private readonly freshness: StateFreshness;
  private readonly cursors = new Map<string, { epoch: string; cursor: number }>();
  private readonly asking = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private looks = 0;
  private turn = 0;
  private stopped = false;
  private lastAnswerMs = -Infinity;
  /** Whether the quorum was asked; a control process alone may lag behind what is acknowledged. */
  private isCurrent = false;
  /** News pushed before that: they may come from a control process that has not caught up after its own start. */
  private readonly early: { readonly delta: FleetDelta; readonly from: string }[] = [];
  private hasEndpoints = false;

  constructor(options: FleetFollowerOptions) {
    this.options = options;
    const { logger, nowMs, controls } = options;
    this.freshness = new StateFreshness({
      logger,
      nowMs,
      version: () => this.fleet.position.version,
      connected: () => controls.ready.map(({ peerName }) => peerName),
    });
  }

  /** Time since a quorum was known to hold nothing newer than is known here. */
  get unconfirmedMs(): number {
    return this.freshness.ageMs;
  }

  /** Time since a control process last answered. */
  get silentMs(): number {
    return this.options.nowMs() - this.lastAnswerMs;
  }

  /** Reads the state through the quorum, then goes on to follow it. */
  async start(): Promise<void> {
    void this.lookForEndpoints();
    await this.readCurrent();
    this.isCurrent = true;
    for (const { delta, from } of this.early.splice(0)) this.take(delta, from);
    this.timer = setInterval(() => {
      this.refresh();
    }, REFRESH_INTERVAL_MS);
    this.refresh();
  }

  /** Ends. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
  }

  /** Takes news that a control process pushes; those that come before the first read wait for it. */
  takePushed(delta: FleetDelta, from: string): void {
    if (this.isCurrent) this.take(delta, from);
    else this.early.push({ delta, from });
    if (this.early.length > MAX_EARLY_NEWS) this.early.shift();
  }

  /** A connection is up: what was pushed while there was none is asked for. */
  controlConnected(name: string): void {
    const control = this.options.controls.ready.find(({ peerName }) => peerName === name);
    if (this.isCurrent && control !== undefined) void this.askState(control);
  }

  private take(delta: FleetDelta, from: string): void {
    const { newlyLeaving, routesChanged, crashes } = this.fleet.take(delta);
    if (crashes !== undefined) this.options.onCrashes(crashes, from);
    const { logger } = this.options;
    if (routesChanged) {
      const { version } = this.fleet.position;
      logger.info('configuration in force', { step: 'configure', version, peer: from });
      this.options.onRoutes();
    }
    if (newlyLeaving.length === 0) return;
    logger.info('endpoints leave', { step: 'leave', endpoints: newlyLeaving, peer: from });
    this.options.onLeaving(newlyLeaving);
  }

  /** Takes heartbeats, pushed or asked for. */
  takeHeartbeats(heartbeats: readonly AgedHeartbeat[]): void {
    this.hasEndpoints ||= heartbeats.length > 0;
    this.options.onHeartbeats(heartbeats);
  }

  /** Endpoints are asked for while the routes are not known yet: both are needed to serve. */
  private async lookForEndpoints(): Promise<void> {
    let pauseMs = FIRST_LOOK_PAUSE_MS;
    while (!this.stopped && !this.hasEndpoints && pauseMs < REFRESH_INTERVAL_MS) {
      this.refresh();
      await pause(pauseMs);
      pauseMs *= LOOK_PAUSE_GROWTH;
    }
  }

  private async readCurrent(): Promise<void> {
    while (!this.stopped) {
      try {
        const { position } = this.fleet;
        const askedAtMs = this.options.nowMs();
        const answer = await this.options.caller.call(
          'fleetDelta',
          FLEET_GROUP,
          position,
          FIRST_READ_TIMEOUT_MS,
        );
        this.take(answer as FleetDelta, 'quorum');
        this.freshness.confirmed(askedAtMs, 'quorum');
        return;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.logger.debug('fleet not known yet', { step: 'start', reason });
        await pause(FIRST_READ_PAUSE_MS);
      }
    }
  }

  /**
   * Asks a control process nearby, whose answers are short, since it was asked just before, and
   * now and then another one.
   */
  private refresh(): void {
    const idle = this.options.controls.ready.filter(({ peerName }) => !this.asking.has(peerName));
    const near = idle.find(({ peerName }) => this.options.isNear(peerName)) ?? idle[0];
    if (near !== undefined) void this.ask(near);
    this.looks += 1;
    this.freshness.look();
    const others = idle.filter((control) => control !== near);
    const other = others[this.turn % Math.max(1, others.length)];
    if (other === undefined || this.looks % LOOKS_PER_CROSS_CHECK !== 0) return;
    this.turn += 1;
    void this.ask(other);
  }

  /** Without the endpoints: after a start of the core every entry is connected to all of it at once. */
  private async askState(control: PeerClient): Promise<void> {
    const { peerName } = control;
    const askedAtMs = this.options.nowMs();
    try {
      const state = await control.request('fleetState', this.fleet.position, REFRESH_TIMEOUT_MS);
      this.takeState(state as StateAnswer, peerName, askedAtMs);
    } catch (error) {
      this.noteNoNews(peerName, error);
    }
  }

  private takeState(answer: StateAnswer, peer: string, askedAtMs: number): void {
    const { delta, confirmedAgeMs = Infinity } = answer;
    this.take(delta, peer);
    this.freshness.confirmed(askedAtMs - confirmedAgeMs, peer);
  }

  private noteNoNews(peer: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.debug('no news', { step: 'refresh', peer, reason });
  }

  private async ask(control: PeerClient): Promise<void> {
    const { peerName } = control;
    this.asking.add(peerName);
    const known = this.cursors.get(peerName) ?? { epoch: '', cursor: 0 };
    const request: RefreshRequest = { position: this.fleet.position, ...known };
    const askedAtMs = this.options.nowMs();
    try {
      const raw = await control.request('fleetRefresh', request, REFRESH_TIMEOUT_MS);
      const { endpoints, ...state } = raw as RefreshAnswer;
      this.lastAnswerMs = this.options.nowMs();
      if (this.isCurrent) this.takeState(state, peerName, askedAtMs);
      this.cursors.set(peerName, { epoch: endpoints.epoch, cursor: endpoints.cursor });
      this.takeHeartbeats(endpoints.heartbeats);
    } catch (error) {
      this.noteNoNews(peerName, error);
    } finally {
      this.asking.delete(peerName);
    }
  }
}
