/**
 * Takes the requests of callers: finds their route, works out how long they may take, and refuses what
 * has no route or comes too late before a planned stop.
 */
import { CallerTimeLimits } from '@shedline/admission';
import { chooseService } from '@shedline/fleet';
import type { KnownFleet, Route, RouteTable, Workspace } from '@shedline/fleet';
import type { ResponseSink, CallerRequest, Forwarder } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import type { PlannedStop } from './planned-stop.js';
import type { QuotaEnforcer, QuotaRefusal, QuotaVerdict } from './quota-enforcer.js';

/** When a caller should come back that was not served while the entry started, elsewhere. */
const NOT_READY_RETRY_MS = 300;
/** When a caller that is refused at the end of a planned stop should come back, elsewhere. */
const STOPPING_RETRY_MS = 100;

/** A request of a caller, decoded. */
export interface IncomingRequest {
  readonly caller: CallerRequest;
  readonly host: string;
  /** As whom it was let in; undefined where no key is asked for. */
  readonly workspace: Workspace | undefined;
  /** Time that the caller waits, from when it asked; undefined where it does not say. */
  readonly timeLeftMs: number | undefined;
  /** Time since it asked, as {@link GatewayProcess.untilStarted} told. */
  readonly heldMs: number;
}

/** A request whose route is known. */
interface AdmittedRequest extends IncomingRequest {
  readonly route: Route;
  readonly routes: RouteTable;
  /** When its caller asked, on the clock of the entry. */
  readonly beganMs: number;
}

/** Options of {@link RequestIntake}. */
export interface RequestIntakeOptions {
  readonly fleet: KnownFleet;
  readonly forwarder: Forwarder;
  readonly quotas: Pick<QuotaEnforcer, 'enter' | 'giveBack'>;
  readonly stop: Pick<PlannedStop, 'isClosing'>;
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
}

/** The requests that are open at one entry. */
export class RequestIntake {
  private readonly options: RequestIntakeOptions;
  private openCount = 0;
  /** By route name. */
  private readonly timeLimits = new Map<string, CallerTimeLimits>();

  constructor(options: RequestIntakeOptions) {
    this.options = options;
  }

  /** Requests that are not answered yet. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Forwards a request; its answer goes into the sink. */
  async forward(incoming: IncomingRequest, sink: ResponseSink): Promise<void> {
    const { caller, host, workspace, heldMs } = incoming;
    if (this.options.stop.isClosing) {
      this.refuseStopping(caller.requestId, sink);
      return;
    }
    const { routes } = this.options.fleet;
    const route = routes?.find(host, caller.path);
    if (routes === undefined || route === undefined) {
      this.refuseUnrouted(incoming, sink);
      return;
    }
    const admitted = { ...incoming, route, routes, beganMs: this.options.nowMs() - heldMs };
    this.openCount += 1;
    try {
      const verdict = await this.judge(workspace, routes);
      if (verdict.mayPass) await this.run(admitted, sink);
      else this.refuseOverQuota(incoming, verdict, sink);
    } finally {
      this.openCount -= 1;
    }
  }

  /** Whether the limit of a workspace has room for one more request. */
  private judge(
    workspace: Workspace | undefined,
    { version }: RouteTable,
  ): QuotaVerdict | Promise<QuotaVerdict> {
    if (workspace === undefined) return { mayPass: true };
    return this.options.quotas.enter(workspace, version);
  }

  private async run(admitted: AdmittedRequest, sink: ResponseSink): Promise<void> {
    const { caller, workspace, route, routes, timeLeftMs, beganMs } = admitted;
    const { forwarder, quotas, metrics, random, nowMs } = this.options;
    const limitMs = Math.min(route.timeLimitMs, timeLeftMs ?? route.timeLimitMs);
    const end = await forwarder.run({
      request: caller,
      route,
      service: chooseService(route, random()),
      rank: workspace?.rank ?? route.rank,
      version: routes.version,
      deadlineMs: beganMs + limitMs,
      arrivedAtMs: beganMs,
      firstAskedAtMs: beganMs - this.ageMs(route, timeLeftMs),
      sink,
    });
    if (end === 'refused' && workspace !== undefined) quotas.giveBack(workspace, routes.version);
    const { name } = route;
    metrics.count('shedline_requests_total', { route: name, outcome: end });
    metrics.took('shedline_request_milliseconds', { route: name }, nowMs() - beganMs);
  }

  /** Time since the first attempt of a caller, as far as it shows. */
  private ageMs(route: Route, timeLeftMs: number | undefined): number {
    if (timeLeftMs === undefined) return 0;
    const known = this.timeLimits.get(route.name);
    const timeLimits = known ?? new CallerTimeLimits();
    if (known === undefined) this.timeLimits.set(route.name, timeLimits);
    timeLimits.note(timeLeftMs);
    return timeLimits.ageMs(timeLeftMs);
  }

  private refuseStopping(request: string, sink: ResponseSink): void {
    this.options.logger.info('request refused', { step: 'stop', request, outcome: 503 });
    sink.refuse(503, { retryAfterMs: STOPPING_RETRY_MS });
  }

  private refuseOverQuota(
    { caller, workspace }: IncomingRequest,
    { status, retryAfterMs }: QuotaRefusal,
    sink: ResponseSink,
  ): void {
    this.options.logger.info('request refused', {
      step: 'quota',
      request: caller.requestId,
      workspace: workspace?.name,
      ...workspace?.limit,
      outcome: status,
      retryAfterMs,
    });
    this.options.metrics.count('shedline_over_quota_total', { status });
    sink.refuse(status, { retryAfterMs });
  }

  private refuseUnrouted({ caller, host }: IncomingRequest, sink: ResponseSink): void {
    const version = this.options.fleet.position.version;
    const status = this.options.fleet.routes !== undefined ? 404 : 503;
    this.options.logger.info('request refused', {
      step: 'route',
      request: caller.requestId,
      host,
      path: caller.path,
      version,
      outcome: status,
    });
    if (status === 404) sink.refuse(404, {});
    else sink.refuse(503, { retryAfterMs: NOT_READY_RETRY_MS });
  }
}
