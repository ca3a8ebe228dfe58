/**
 * Runs the items of batch jobs in the slots that online work leaves. Each endpoint has one entry
 * that runs batch work there; it stops items at once when online work wants their slots, and
 * goes on with them later from the events that it already has.
 */
import { BatchOwnership, chooseStreamsToStop, spareSlots } from '@shedline/batch';
import type { GroupCaller } from '@shedline/control-client';
import type { KnownFleet, Route } from '@shedline/fleet';
import type { GrantAnswer, GrantedItem } from '@shedline/fleet-control';
import { dataOf } from '@shedline/forwarding';
import type {
  CallerRequest,
  EndpointProtocol,
  RequestSender,
  RunningSend,
  SendResult,
} from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import type { SlotCandidate } from '@shedline/routing';
import type { ItemRef } from '@shedline/whole-jobs';
import type { EndpointPool } from './endpoint-pool.js';
import { jobGroupOf, quotaKeyOf } from './job-desk.js';
import { RunReporter } from './run-reporter.js';

/** Time between looks at the slots. */
const TICK_MS = 40;
/** Time between requests for items while some wait, and while none do. */
const ASK_INTERVAL_MS = 80;
const IDLE_ASK_INTERVAL_MS = 200;
const ASK_TIMEOUT_MS = 1000;
const RENEW_INTERVAL_MS = 1000;
/** Slots of an endpoint that are left free for online requests. */
const RESERVED_SLOTS = 1;
/** Pause before an item goes out again after an endpoint would not take it or failed it. */
const RETRY_PAUSE_MS = 150;
const CANNOT_BE_DONE_STATUS = 422;

/** Options of {@link ItemRunner}. */
export interface ItemRunnerOptions {
  /** Name of this entry; holds items under it. */
  readonly holder: string;
  readonly self: string;
  readonly stores: GroupCaller;
  readonly fleet: KnownFleet;
  readonly pool: EndpointPool;
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Names of the entries that run batch work, this one included. */
  readonly liveEntries: () => readonly string[];
}

/** An item that this entry holds. */
interface HeldItem {
  readonly ref: ItemRef;
  readonly group: number;
  readonly granted: GrantedItem;
  /** Data of the events so far. */
  readonly pieces: string[];
  lastEventId: string | undefined;
  readyAtMs: number;
  run: ItemRun | undefined;
  /** Number of its latest run at this entry. */
  runNumber: number;
}

interface ItemRun {
  readonly endpointId: string;
  readonly startedAtMs: number;
  readonly sending: RunningSend;
}

/** Items under way at this entry. */
export class ItemRunner {
  private readonly options: ItemRunnerOptions;
  private readonly ownership: BatchOwnership;
  private readonly reporter: RunReporter;
  private readonly held = new Map<string, HeldItem>();
  private readonly askedAtMs = new Map<string, number>();
  private readonly waitingItems = new Map<string, number>();
  private timers: NodeJS.Timeout[] = [];
  private draining = false;
  /** Runs begun by this process; an item may come here more than once, its runs stay apart. */
  private runsBegun = 0;

  constructor(options: ItemRunnerOptions) {
    this.options = options;
    this.ownership = new BatchOwnership({ self: options.self });
    this.reporter = new RunReporter({ stores: options.stores, logger: options.logger });
  }

  /** Items held here, running or waiting. */
  get heldCount(): number {
    return this.held.size;
  }

  /** Starts. */
  start(): void {
    this.timers = [
      setInterval(() => {
        this.tick();
      }, TICK_MS),
      setInterval(() => {
        this.renew();
      }, RENEW_INTERVAL_MS),
    ];
  }

  /** Stops all items and hands them back; results that are done are still reported. */
  async drain(): Promise<void> {
    this.draining = true;
    for (const timer of this.timers) clearInterval(timer);
    for (const item of this.held.values()) item.run?.sending.stop();
    await this.reporter.flush();
    await Promise.all(this.heldByGroup().map(([group, items]) => this.release(group, items)));
    this.held.clear();
  }

  /** Makes room at an endpoint where an online request wants a slot. */
  slotWanted(endpointId: string): void {
    const running = this.runningAt(endpointId);
    this.stopExcess(endpointId, running.length - 1);
  }

  /** Stops the items of a job that was ended. */
  jobEnded(jobId: string): void {
    for (const item of this.held.values()) {
      if (item.ref.jobId === jobId) this.drop(item, 'job ended');
    }
  }

  /** The entry that runs batch work at an endpoint. */
  ownerOf(endpointId: string): string | undefined {
    return this.ownership.ownerOf(endpointId);
  }

  private tick(): void {
    const routes = this.jobRoutes();
    for (const route of routes) this.serveRoute(route);
  }

  private jobRoutes(): Route[] {
    const routes = this.options.fleet.routes?.configuration.routes ?? [];
    return routes.filter((route) => route.kind === 'jobs');
  }

  private serveRoute(route: Route): void {
    const nowMs = this.options.nowMs();
    const usable = this.usableFor(route);
    this.ownership.update(
      usable.map(({ endpointId }) => endpointId),
      this.options.liveEntries(),
      nowMs,
    );
    const owned = new Set(this.ownership.owned(nowMs));
    let free = 0;
    for (const candidate of usable) {
      if (!owned.has(candidate.endpointId)) continue;
      free += this.fill(candidate, route);
    }
    if (free > 0) void this.ask(route, free);
  }

  private usableFor(route: Route): SlotCandidate[] {
    const services = route.targets.filter(({ weight }) => weight > 0);
    return services.flatMap(({ service }) => this.options.pool.usable(service));
  }

  /** Stops or starts items at an endpoint; gives the slots that stay free. */
  private fill(candidate: SlotCandidate, route: Route): number {
    const { endpointId, online, slots } = candidate;
    const allowed = spareSlots({ slots, online, reserve: RESERVED_SLOTS });
    const running = this.runningAt(endpointId).length;
    if (running > allowed) {
      this.stopExcess(endpointId, allowed);
      return 0;
    }
    let free = allowed - running;
    for (const item of this.readyItems(route)) {
      if (free === 0) break;
      this.startRun(item, endpointId);
      free -= 1;
    }
    return free;
  }

  private runningAt(endpointId: string): HeldItem[] {
    return [...this.held.values()].filter((item) => item.run?.endpointId === endpointId);
  }

  private stopExcess(endpointId: string, allowed: number): void {
    const streams = this.runningAt(endpointId).map((item) => ({
      streamId: keyOf(item.ref),
      startedAtMs: item.run?.startedAtMs ?? 0,
      tokens: item.pieces.length,
      stoppable: true,
    }));
    for (const { streamId } of chooseStreamsToStop(streams, allowed)) {
      this.held.get(streamId)?.run?.sending.stop();
    }
  }

  /** Items that wait here for a slot, the oldest jobs first. */
  private readyItems(route: Route): HeldItem[] {
    const nowMs = this.options.nowMs();
    const key = quotaKeyOf(route);
    const ready = [...this.held.values()].filter((item) => {
      if (item.run !== undefined || item.readyAtMs > nowMs) return false;
      const { host, path } = item.granted;
      const own = this.options.fleet.routes?.find(host, path);
      return own !== undefined && quotaKeyOf(own) === key;
    });
    return ready.sort((a, b) => a.granted.submittedAtMs - b.granted.submittedAtMs);
  }

  private async ask(route: Route, free: number): Promise<void> {
    const key = quotaKeyOf(route);
    const nowMs = this.options.nowMs();
    const waits = (this.waitingItems.get(key) ?? 0) > 0;
    const intervalMs = waits ? ASK_INTERVAL_MS : IDLE_ASK_INTERVAL_MS;
    if (nowMs - (this.askedAtMs.get(key) ?? -Infinity) < intervalMs) return;
    const cluster = this.options.fleet.storeCluster;
    if (cluster === undefined || this.draining) return;
    this.askedAtMs.set(key, nowMs + ASK_TIMEOUT_MS);
    const group = jobGroupOf(route.host, cluster.jobGroupCount);
    const body = { holder: this.options.holder, quotaKey: key, maxItems: free };
    try {
      const raw = await this.options.stores.call(
        'grantItems',
        group,
        { group, body },
        ASK_TIMEOUT_MS,
      );
      const answer = raw as GrantAnswer;
      this.waitingItems.set(key, answer.waitingItems);
      for (const granted of answer.items) this.take(group, granted);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.debug('no items granted', { step: 'grant', group, reason });
    } finally {
      this.askedAtMs.set(key, this.options.nowMs());
    }
    this.fillOwned(route);
  }

  private fillOwned(route: Route): void {
    const owned = new Set(this.ownership.owned(this.options.nowMs()));
    for (const candidate of this.usableFor(route)) {
      if (owned.has(candidate.endpointId)) this.fill(candidate, route);
    }
  }

  private take(group: number, granted: GrantedItem): void {
    const ref = { jobId: granted.jobId, index: granted.index };
    this.held.set(keyOf(ref), {
      ref,
      group,
      granted,
      pieces: [],
      lastEventId: undefined,
      readyAtMs: 0,
      run: undefined,
      runNumber: 0,
    });
  }

  private startRun(item: HeldItem, endpointId: string): void {
    const { pool, sender, protocol, nowMs, logger } = this.options;
    const address = pool.addressOf(endpointId);
    if (address === undefined) return;
    const { granted } = item;
    const request = callerRequestOf(granted);
    this.runsBegun += 1;
    item.runNumber = this.runsBegun;
    pool.batchChange(endpointId, 1);
    const sending = sender.send(
      {
        address,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: protocol.sendHeaders(request, {
          endpointId,
          timeLeftMs: undefined,
          resumeAfterEventId: item.lastEventId,
        }),
        body: request.body,
      },
      {
        onHead: () => undefined,
        onPart: (bytes, event) => {
          item.pieces.push(event === undefined ? bytes.toString('utf8') : dataOf(event));
          if (event?.id !== undefined) item.lastEventId = event.id;
          return true;
        },
      },
    );
    item.run = { endpointId, startedAtMs: nowMs(), sending };
    logger.debug('item sent', {
      step: 'run item',
      request: granted.item.itemId,
      job: granted.jobId,
      endpoint: endpointId,
      run: item.runNumber,
      events: item.pieces.length,
    });
    void sending.result.then((result) => {
      this.runEnded(item, endpointId, result);
    });
  }

  private runEnded(item: HeldItem, endpointId: string, result: SendResult): void {
    const { pool, nowMs } = this.options;
    item.run = undefined;
    pool.batchChange(endpointId, -1);
    pool.judge(endpointId, result, undefined);
    this.logEnd(item, endpointId, result);
    if (this.held.get(keyOf(item.ref)) !== item) return;
    if (result.kind === 'complete') {
      this.finish(item, 'complete', item.pieces.join('\n'));
    } else if (result.kind === 'failure' && result.head.status === CANNOT_BE_DONE_STATUS) {
      this.finish(item, 'errored', '');
    } else if (result.kind === 'failure') {
      this.fail(item);
    } else if (result.kind === 'ended') {
      item.readyAtMs = nowMs() + RETRY_PAUSE_MS;
    }
  }

  private finish(item: HeldItem, state: 'complete' | 'errored', text: string): void {
    this.held.delete(keyOf(item.ref));
    this.reporter.finished(item.group, { ...item.ref, state, text });
  }

  /** The stores count failed runs; this entry goes on with the item unless they say otherwise. */
  private fail(item: HeldItem): void {
    const runId = `${this.options.holder}/${keyOf(item.ref)}/${item.runNumber}`;
    this.held.delete(keyOf(item.ref));
    this.reporter.failed(item.group, { ...item.ref, runId }, () => {
      void this.release(item.group, [item]);
    });
  }

  private drop(item: HeldItem, reason: string): void {
    this.held.delete(keyOf(item.ref));
    item.run?.sending.stop();
    const { jobId, index } = item.ref;
    this.options.logger.info('item dropped', { step: 'run item', job: jobId, index, reason });
  }

  private renew(): void {
    for (const [group, items] of this.heldByGroup()) void this.renewGroup(group, items);
  }

  private async renewGroup(group: number, items: readonly HeldItem[]): Promise<void> {
    const body = { holder: this.options.holder, refs: items.map((item) => item.ref) };
    try {
      const raw = await this.options.stores.call('renewItems', group, { group, body }, 1500);
      for (const ref of raw as ItemRef[]) {
        const item = this.held.get(keyOf(ref));
        if (item !== undefined) this.drop(item, 'over or held by another entry');
      }
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.debug('items not renewed', { step: 'renew', group, reason });
    }
  }

  private async release(group: number, items: readonly HeldItem[]): Promise<void> {
    const body = { holder: this.options.holder, refs: items.map((item) => item.ref) };
    try {
      await this.options.stores.call('releaseItems', group, { group, body }, ASK_TIMEOUT_MS);
    } catch (error) {
      // Their leases run out by themselves.
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.info('items not handed back', { step: 'release', group, reason });
    }
  }

  private heldByGroup(): [number, HeldItem[]][] {
    const byGroup = new Map<number, HeldItem[]>();
    for (const item of this.held.values()) {
      byGroup.set(item.group, [...(byGroup.get(item.group) ?? []), item]);
    }
    return [...byGroup];
  }

  private logEnd(item: HeldItem, endpointId: string, result: SendResult): void {
    const outcome = result.kind === 'ended' ? result.outcome.kind : result.kind;
    this.options.logger.info('item run ended', {
      step: 'run item',
      request: item.granted.item.itemId,
      job: item.ref.jobId,
      index: item.ref.index,
      endpoint: endpointId,
      run: item.runNumber,
      outcome,
      events: item.pieces.length,
      ...(result.kind === 'failure' ? { status: result.head.status } : {}),
    });
  }
}

function keyOf(ref: ItemRef): string {
  return `${ref.jobId}|${ref.index}`;
}

function callerRequestOf(granted: GrantedItem): CallerRequest {
  const { item, host } = granted;
  return {
    requestId: item.itemId,
    method: 'POST',
    path: item.path,
    headers: ['Host', host, ...item.headers],
    body: Buffer.from(item.body),
  };
}
