/**
 * Keeps an entry's copy of the fleet state up to date: it receives the changes that all connected
 * control processes push, and polls one of them at intervals in case a push was lost. The initial
 * read goes through the quorum, so that a restarted entry never applies a state older than one that
 * was acknowledged.
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
import { EndpointFeed } from './endpoint-feed.js';
import { TICK_INTERVAL_MS } from './periodic-tasks.js';
import type { PeriodicTasks } from './periodic-tasks.js';
import { PollPlan } from './poll-plan.js';
import { StateFreshness } from './state-freshness.js';

/** Time after which another control process is polled if a poll has failed or is unanswered. */
const UNANSWERED_POLL_MS = 300;
/** First polling interval of the endpoint discovery; grows up to the usual interval. */
const FIRST_DISCOVERY_PAUSE_MS = 40;
const DISCOVERY_PAUSE_GROWTH = 1.25;
const REFRESH_TIMEOUT_MS = 700;
const FIRST_READ_TIMEOUT_MS = 1500;
const FIRST_READ_PAUSE_MS = 20;
/**
 * Maximum number of pushed changes kept until the initial read; dropped ones are read by polling.
 */
const MAX_EARLY_DELTAS = 64;

/** Options of {@link FleetFollower}. */
export interface FleetFollowerOptions {
  readonly controls: PeerConnections;
  readonly caller: GroupCaller;
  /** Whether a control process is in the availability zone of this entry. */
  readonly isInOwnZone: (control: string) => boolean;
  /** Runs the polls. */
  readonly tasks: PeriodicTasks;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onHeartbeats: (heartbeats: readonly AgedHeartbeat[]) => void;
  readonly onLeaving: (endpointIds: readonly string[]) => void;
  /** Called with changes of the record of contents that crashed endpoints. */
  readonly onCrashes: (changes: CrashChanges, from: string) => void;
  /** Called when new routes are in force. */
  readonly onRoutes: () => void;
}

/** Follows the fleet state, and tracks its freshness. */
export class FleetFollower {
  readonly fleet = new KnownFleet();
  private readonly options: FleetFollowerOptions;
  private readonly freshness: StateFreshness;
  private readonly endpoints: EndpointFeed;
  private readonly pendingControls = new Set<string>();
  /** One timer for all polls, so that polls that fail at once do not add up. */
  private unansweredTimer: NodeJS.Timeout | undefined;
  private stopPolling: (() => void) | undefined;
  private readonly plan = new PollPlan();
  private isStopped = false;
  private lastReplyAtMs = -Infinity;
  /**
   * Whether the initial read is done; a single control process may lag behind acknowledged changes.
   */
  private hasReadQuorum = false;
  /**
   * Changes pushed before the initial read, possibly by a control process that has not caught up
   * after a restart.
   */
  private readonly earlyDeltas: { readonly delta: FleetDelta; readonly from: string }[] = [];

  constructor(options: FleetFollowerOptions) {
    this.options = options;
    const { logger, nowMs, controls } = options;
    this.endpoints = new EndpointFeed({
      nowMs,
      requestTimeoutMs: REFRESH_TIMEOUT_MS,
      onHeartbeats: options.onHeartbeats,
    });
    this.freshness = new StateFreshness({
      logger,
      nowMs,
      version: () => this.fleet.position.version,
      connected: () => controls.ready.map(({ peerName }) => peerName),
    });
  }

  /** Time since a quorum was last known to hold no newer state than this entry. */
  get stateAgeMs(): number {
    return this.freshness.ageMs;
  }

  /** Whether a quorum has confirmed recently that it holds no newer state than this entry. */
  get isStateFresh(): boolean {
    return this.freshness.isFresh;
  }

  /** Time since the last reply of a control process. */
  get controlSilenceMs(): number {
    return this.options.nowMs() - this.lastReplyAtMs;
  }

  /** Reads the state through the quorum, then starts polling. */
  async start(): Promise<void> {
    void this.discoverEndpoints();
    await this.readFromQuorum();
    this.hasReadQuorum = true;
    for (const { delta, from } of this.earlyDeltas.splice(0)) this.apply(delta, from);
    this.stopPolling = this.options.tasks.add({
      everyTicks: 1,
      run: () => {
        this.refresh();
      },
    });
    this.refresh();
  }

  /** Stops polling. */
  stop(): void {
    this.isStopped = true;
    this.stopPolling?.();
    this.clearUnansweredTimer();
  }

  /** Applies a pushed change, or keeps it until the initial read is done. */
  handleDelta(delta: FleetDelta, from: string): void {
    if (this.hasReadQuorum) this.apply(delta, from);
    else this.earlyDeltas.push({ delta, from });
    if (this.earlyDeltas.length > MAX_EARLY_DELTAS) this.earlyDeltas.shift();
  }

  /** Reads changes that were pushed while there was no connection to this control process. */
  onControlConnected(name: string): void {
    const control = this.options.controls.ready.find(({ peerName }) => peerName === name);
    if (this.hasReadQuorum && control !== undefined) void this.requestState(control);
  }

  private apply(delta: FleetDelta, from: string): void {
    const { newlyLeaving, routesChanged, crashes } = this.fleet.applyDelta(delta);
    if (crashes !== undefined) this.options.onCrashes(crashes, from);
    const { logger } = this.options;
    if (routesChanged) {
      const { version } = this.fleet.position;
      logger.info('configuration in force', { step: 'configure', version, peer: from });
      this.options.onRoutes();
    }
    if (newlyLeaving.length === 0) return;
    logger.info('endpoints leaving', { step: 'leave', endpoints: newlyLeaving, peer: from });
    this.options.onLeaving(newlyLeaving);
  }

  /** Handles pushed heartbeats. */
  handleHeartbeats(heartbeats: readonly AgedHeartbeat[]): void {
    this.endpoints.receive(heartbeats);
  }

  /**
   * Polls for endpoints during the initial read, since both routes and endpoints are needed to
   * serve.
   */
  private async discoverEndpoints(): Promise<void> {
    let pauseMs = FIRST_DISCOVERY_PAUSE_MS;
    while (!this.isStopped && this.endpoints.isEmpty && pauseMs < TICK_INTERVAL_MS) {
      this.refresh();
      await pause(pauseMs);
      pauseMs *= DISCOVERY_PAUSE_GROWTH;
    }
  }

  private async readFromQuorum(): Promise<void> {
    while (!this.isStopped) {
      try {
        const { position } = this.fleet;
        const askedAtMs = this.options.nowMs();
        const answer = await this.options.caller.call(
          'fleetDelta',
          FLEET_GROUP,
          position,
          FIRST_READ_TIMEOUT_MS,
        );
        this.apply(answer as FleetDelta, 'quorum');
        this.freshness.confirm(askedAtMs, 'quorum');
        return;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.logger.debug('initial read of the fleet state failed', {
          step: 'start',
          reason,
        });
        await pause(FIRST_READ_PAUSE_MS);
      }
    }
  }

  /** Polls the control process whose turn it is among those without an outstanding poll. */
  private refresh(): void {
    this.freshness.check();
    const idle = this.options.controls.ready.filter(
      ({ peerName }) => !this.pendingControls.has(peerName),
    );
    const name = this.plan.next(
      idle.map(({ peerName }) => ({
        name: peerName,
        isInOwnZone: this.options.isInOwnZone(peerName),
      })),
    );
    const control = idle.find(({ peerName }) => peerName === name);
    if (control !== undefined) void this.refreshFrom(control);
  }

  /**
   * Reads the state without endpoints: after a restart of the core all entries reconnect to it at
   * once.
   */
  private async requestState(control: PeerClient): Promise<void> {
    const { peerName } = control;
    const askedAtMs = this.options.nowMs();
    try {
      const state = await control.request('fleetState', this.fleet.position, REFRESH_TIMEOUT_MS);
      this.applyState(state as StateAnswer, peerName, askedAtMs);
    } catch (error) {
      this.logFailedRefresh(peerName, error);
    }
  }

  private applyState(answer: StateAnswer, peer: string, askedAtMs: number): void {
    const { delta, confirmedAgeMs = Infinity } = answer;
    this.plan.noteReply(peer, answer.confirmedAgeMs);
    this.apply(delta, peer);
    this.freshness.confirm(askedAtMs - confirmedAgeMs, peer);
  }

  private logFailedRefresh(peer: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.debug('poll of a control process failed', {
      step: 'refresh',
      peer,
      reason,
    });
  }

  private async refreshFrom(control: PeerClient): Promise<void> {
    const { peerName } = control;
    this.pendingControls.add(peerName);
    this.unansweredTimer ??= setTimeout(() => {
      this.unansweredTimer = undefined;
      this.refresh();
    }, UNANSWERED_POLL_MS);
    try {
      let hasMore = true;
      while (hasMore && !this.isStopped) hasMore = await this.readPage(control);
      this.clearUnansweredTimer();
    } catch (error) {
      this.logFailedRefresh(peerName, error);
    } finally {
      this.pendingControls.delete(peerName);
    }
  }

  private clearUnansweredTimer(): void {
    clearTimeout(this.unansweredTimer);
    this.unansweredTimer = undefined;
  }

  /** Reads the next page of changes; returns whether more follow. */
  private async readPage(control: PeerClient): Promise<boolean> {
    const { peerName } = control;
    const request: RefreshRequest = {
      position: this.fleet.position,
      ...this.endpoints.requestFor(peerName),
    };
    const askedAtMs = this.options.nowMs();
    const reply = await control.request('fleetRefresh', request, REFRESH_TIMEOUT_MS);
    const { endpoints, ...state } = reply as RefreshAnswer;
    this.lastReplyAtMs = this.options.nowMs();
    if (this.hasReadQuorum) this.applyState(state, peerName, askedAtMs);
    return this.endpoints.apply(control, endpoints);
  }
}
