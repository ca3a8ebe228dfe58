/**
 * Handles callers' requests: finds the route, checks the workspace's quota, computes the deadline
 * and forwards. Requests without a route are refused, as are those that could not end before this process stops.
 */
import { CallerTimeLimits } from '@shedline/admission';
import { CallDurations, STOPPING_RETRY_MS } from '@shedline/draining';
import type { CallLimits, ObservedCall } from '@shedline/draining';
import { chooseService } from '@shedline/fleet';
import type { KnownFleet, Route, RouteTable, Workspace } from '@shedline/fleet';
import type { ResponseSink, CallerRequest, ForwardEnd, Forwarder } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import type { StreamAttempt, StreamOrigin } from '@shedline/stream-origins';
import type { GracefulShutdown } from './graceful-shutdown.js';
import type { QuotaEnforcer, QuotaRefusal, QuotaVerdict } from './quota-enforcer.js';
import type { StreamOrigins } from './stream-origins.js';

/** Retry delay for callers refused before the routes are known; they should try another entry. */
const NOT_READY_RETRY_MS = 300;

/** Retry delay for callers whose stream began at an unknown software version; another entry may know. */
const UNKNOWN_ORIGIN_RETRY_MS = 100;

/** A decoded request of a caller. */
export interface IncomingRequest {
  readonly caller: CallerRequest;
  readonly host: string;
  /** Workspace of the caller; undefined if the route requires no API key. */
  readonly workspace: Workspace | undefined;
  /** Time for which the caller waits, from its request on; undefined if not stated. */
  readonly timeLeftMs: number | undefined;
  /** Time for which the request was held while the entry started. */
  readonly heldMs: number;
}

/** A request with its route. */
interface AdmittedRequest extends IncomingRequest {
  readonly route: Route;
  readonly routes: RouteTable;
  /** Time of the caller's request on the entry's clock. */
  readonly askedAtMs: number;
  /** Deadline of the request, on the same clock. */
  readonly deadlineMs: number;
}

/** Options of {@link RequestHandler}. */
export interface RequestHandlerOptions {
  readonly fleet: KnownFleet;
  readonly forwarder: Forwarder;
  readonly quotas: Pick<QuotaEnforcer, 'admit' | 'refund'>;
  readonly origins: Pick<StreamOrigins, 'begun' | 'find' | 'isCertain'>;
  readonly stop: Pick<GracefulShutdown, 'hasBegun' | 'mayBegin' | 'timeLeftMs'>;
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
}

/** Forwards the requests of callers, and counts those in progress. */
export class RequestHandler {
  private readonly options: RequestHandlerOptions;
  private readonly durations: CallDurations;
  private openCount = 0;
  /** Time limits observed from callers, by route name. */
  private readonly timeLimits = new Map<string, CallerTimeLimits>();

  constructor(options: RequestHandlerOptions) {
    this.options = options;
    this.durations = new CallDurations(options);
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.openCount;
  }

  /** Forwards a request and writes the response to the sink. */
  async forward(incoming: IncomingRequest, sink: ResponseSink): Promise<void> {
    const { caller, host, workspace, heldMs, timeLeftMs } = incoming;
    const { routes } = this.options.fleet;
    const route = routes?.find(host, caller.path);
    if (routes === undefined || route === undefined) {
      this.refuseUnrouted(incoming, sink);
      return;
    }
    const askedAtMs = this.options.nowMs() - heldMs;
    const deadlineMs = askedAtMs + Math.min(route.timeLimitMs, timeLeftMs ?? route.timeLimitMs);
    const admitted = { ...incoming, route, routes, askedAtMs, deadlineMs };
    if (!this.mayBegin(admitted)) {
      this.refuseAtShutdown(admitted, sink);
      return;
    }
    this.openCount += 1;
    try {
      const verdict = await this.checkQuota(workspace, routes);
      if (verdict.mayPass) await this.forwardAdmitted(admitted, sink);
      else this.refuseOverQuota(incoming, verdict, sink);
    } finally {
      this.openCount -= 1;
    }
  }

  /** Checks whether the rate limit of a workspace permits one more request. */
  private checkQuota(
    workspace: Workspace | undefined,
    { version }: RouteTable,
  ): QuotaVerdict | Promise<QuotaVerdict> {
    if (workspace === undefined) return { mayPass: true };
    return this.options.quotas.admit(workspace, version);
  }

  private async forwardAdmitted(admitted: AdmittedRequest, sink: ResponseSink): Promise<void> {
    const { workspace, route, routes, askedAtMs } = admitted;
    const { quotas, metrics, nowMs } = this.options;
    const call = this.durations.begin(route.name, admitted.caller.maxOutputTokens);
    let end: ForwardEnd = 'refused';
    try {
      end = await this.forwardStream(admitted, sink, call);
    } finally {
      call.end(end !== 'refused');
    }
    if (end === 'refused' && workspace !== undefined) quotas.refund(workspace, routes.version);
    const { name } = route;
    metrics.count('shedline_requests_total', { route: name, outcome: end });
    metrics.recordDuration('shedline_request_milliseconds', { route: name }, nowMs() - askedAtMs);
  }

  /** Forwards a request to the software version that began its stream, if it continues one. */
  private async forwardStream(
    admitted: AdmittedRequest,
    sink: ResponseSink,
    call: ObservedCall,
  ): Promise<ForwardEnd> {
    const { caller, workspace, host, route, routes, timeLeftMs, askedAtMs, deadlineMs } = admitted;
    const { forwarder, origins, random } = this.options;
    const origin = await this.originOf(admitted);
    if (origin === 'unknown') {
      this.refuseUnknownOrigin(caller, sink);
      return 'refused';
    }
    const service = origin?.service ?? chooseService(route, random());
    const { requestId } = caller;
    const attempt: StreamAttempt = { host, workspace: workspace?.name, requestId };
    return forwarder.run({
      request: caller,
      route,
      service,
      rank: workspace?.rank ?? route.rank,
      version: routes.version,
      deadlineMs,
      arrivedAtMs: askedAtMs,
      firstAttemptAtMs: askedAtMs - this.callerAgeMs(route, timeLeftMs),
      sink,
      ...(origin === undefined
        ? {}
        : {
            softwareVersion: origin.softwareVersion,
            isOriginCertain: () => origins.isCertain(resumedAttemptOf(admitted)),
          }),
      mayBegin: () => this.mayBegin(admitted),
      onFirstEvent: ({ endpointId: writer, softwareVersion }) => {
        call.firstPart();
        if (!route.isResumable) return;
        const { timeLimitMs } = route;
        origins.begun({ attempt, service, softwareVersion, writer, timeLimitMs });
      },
    });
  }

  /** Returns where the stream began that a request continues; undefined for a new one. */
  private async originOf(admitted: AdmittedRequest): Promise<StreamOrigin | 'unknown' | undefined> {
    const { caller, route } = admitted;
    const { requestId, resumeAfterEventId } = caller;
    if (route.kind !== 'stream' || resumeAfterEventId === undefined) return undefined;
    const services = route.targets
      .filter(({ weight }) => weight > 0)
      .map((target) => target.service);
    const attempt = resumedAttemptOf(admitted);
    const verdict = await this.options.origins.find({ requestId, attempt, services });
    // A stream of a service that the route no longer uses cannot continue.
    if (!verdict.isKnown || !services.includes(verdict.origin.service)) return 'unknown';
    return verdict.origin;
  }

  private refuseUnknownOrigin({ requestId }: CallerRequest, sink: ResponseSink): void {
    this.options.logger.info('request refused', {
      step: 'stream origin',
      request: requestId,
      outcome: 503,
      retryAfterMs: UNKNOWN_ORIGIN_RETRY_MS,
    });
    sink.refuse(503, { retryAfterMs: UNKNOWN_ORIGIN_RETRY_MS });
  }

  /** Estimates the time since the caller's first attempt from the time that it still waits. */
  private callerAgeMs(route: Route, timeLeftMs: number | undefined): number {
    if (timeLeftMs === undefined) return 0;
    const known = this.timeLimits.get(route.name);
    const timeLimits = known ?? new CallerTimeLimits();
    if (known === undefined) this.timeLimits.set(route.name, timeLimits);
    timeLimits.record(timeLeftMs);
    return timeLimits.sinceFirstAttemptMs(timeLeftMs);
  }

  /** Whether a request can be expected to end before this process closes its connections. */
  private mayBegin(admitted: AdmittedRequest): boolean {
    const { stop } = this.options;
    return !stop.hasBegun || stop.mayBegin(this.longestMs(admitted));
  }

  /** Returns the time that a request is expected to take at most from now on. */
  private longestMs({ route, caller, deadlineMs }: AdmittedRequest): number {
    const limitMs = deadlineMs - this.options.nowMs();
    const limits: CallLimits = { limitMs, maxOutput: caller.maxOutputTokens };
    return this.durations.longestMs(route.name, limits);
  }

  private refuseAtShutdown(admitted: AdmittedRequest, sink: ResponseSink): void {
    const { caller, route } = admitted;
    const { logger, metrics, stop } = this.options;
    logger.info('request refused', {
      step: 'stop',
      request: caller.requestId,
      route: route.name,
      outcome: 503,
      longestMs: Math.round(this.longestMs(admitted)),
      closesInMs: Math.round(stop.timeLeftMs),
    });
    metrics.count('shedline_refused_at_stop_total', { route: route.name });
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

/** Returns the attempt that began the stream which a request continues, if its caller names one. */
function resumedAttemptOf({ caller, workspace, host }: AdmittedRequest): StreamAttempt | undefined {
  const { resumesRequestId: requestId } = caller;
  return requestId === undefined ? undefined : { host, workspace: workspace?.name, requestId };
}
