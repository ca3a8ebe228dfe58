/**
 * Knows at which software version the streams of callers began. A stream is recorded before its first
 * event is passed on, here and, if several versions serve, at control processes: its caller may continue
 * it at any entry, also after this one has ended.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { AgedHeartbeat } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import {
  OriginRecords,
  STREAM_KEEP_MS,
  SeenVersions,
  decideOrigin,
  originKeyOf,
} from '@shedline/stream-origins';
import type {
  OriginRecord,
  OriginReply,
  OriginRequest,
  OriginVerdict,
  StreamAttempt,
  StreamOrigin,
} from '@shedline/stream-origins';
import type { PeerClient, PeerConnections } from '@shedline/transport';
import { rendezvousOrder } from '@shedline/types';

/** Number of control processes that hold a record. */
const HOLDERS = 3;
/** Maximum wait for the reply of a control process. */
const REPLY_TIMEOUT_MS = 120;
/** Pauses before further questions: the record may still be on its way. */
const FURTHER_QUESTION_PAUSES_MS = [30, 60];

/** Number of removed records that are remembered. */
const MAX_DOUBTED_KEYS = 10_000;

/** A stream that a caller wants to continue. */
export interface ContinuedStream {
  /** Id of the request that continues it, for the log. */
  readonly requestId: string;
  /** The attempt that began it; undefined if the caller names none. */
  readonly attempt: StreamAttempt | undefined;
  /** Services at which it may have begun. */
  readonly services: readonly string[];
}

/** A stream that has begun at this entry. */
export interface BegunStream extends StreamOrigin {
  readonly attempt: StreamAttempt;
  /** Id of the endpoint's incarnation that wrote the first event. */
  readonly writer: string;
  /** Maximum duration of the stream. */
  readonly timeLimitMs: number;
}

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  /** See `EndpointChooser.isWriterCertain`. */
  readonly isWriterCertain: (endpointId: string, atMs: number) => boolean;
  readonly controls: Pick<PeerConnections, 'ready'>;
  /** Number of control processes that may know what began a stream, connected or not. */
  readonly controlCount: () => number;
  readonly logger: Logger;
  readonly metrics: ProcessMetrics;
  readonly nowMs: () => number;
}

/** The origins of streams, as known to one entry. */
export class StreamOrigins {
  private readonly options: StreamOriginsOptions;
  private readonly startedAtMs: number;
  private readonly records = new OriginRecords();
  private readonly seenVersions = new SeenVersions();
  /** Keys of removed records, the latest ones: requests in progress may rely on them. */
  private readonly doubtedKeys = new Set<string>();

  constructor(options: StreamOriginsOptions) {
    this.options = options;
    this.startedAtMs = options.nowMs();
  }

  /** Number of streams recorded here. */
  get recordCount(): number {
    return this.records.size;
  }

  /** Notes the versions that serve; once there are several, sends the records held so far. */
  observeHeartbeats(heartbeats: readonly AgedHeartbeat[]): void {
    const nowMs = this.options.nowMs();
    const services = new Set<string>();
    for (const { heartbeat, ageMs } of heartbeats) {
      const { service, softwareVersion = '' } = heartbeat;
      if (!this.seenVersions.observe({ service, softwareVersion }, ageMs, nowMs)) continue;
      services.add(service);
      this.options.logger.info('several software versions serve', {
        step: 'stream origin',
        service,
        softwareVersions: this.seenVersions
          .of([service], nowMs)
          .map((seen) => seen.softwareVersion),
      });
    }
    if (services.size > 0) this.send(this.records.ofServices(services, nowMs));
  }

  /** Sends the records to a control process, which may have lost its own. */
  onControlConnected(name: string): void {
    const nowMs = this.options.nowMs();
    const services = this.seenVersions.servicesWithSeveral(nowMs);
    if (services.size === 0) return;
    const control = this.options.controls.ready.find(({ peerName }) => peerName === name);
    const records = this.records.ofServices(services, nowMs);
    if (records.length > 0) control?.send('streamOrigins', records);
  }

  /** Records a stream; call this before its first event is passed on. */
  begun({ attempt, service, softwareVersion, writer, timeLimitMs }: BegunStream): void {
    const nowMs = this.options.nowMs();
    const record: OriginRecord = {
      key: originKeyOf(attempt),
      service,
      softwareVersion,
      writer,
      ageMs: 0,
      keepMs: timeLimitMs + STREAM_KEEP_MS,
    };
    this.records.record(record, nowMs);
    if (this.seenVersions.hasSeveral(service, nowMs)) this.send([record]);
  }

  /**
   * Removes the streams that an incarnation began after `sinceMs`: the next one, of another version, may
   * have written them.
   */
  writerInDoubt(writer: string, sinceMs: number): void {
    const keys = this.records.removeBegunAt(writer, sinceMs);
    this.options.logger.info('endpoint restarted as another software version', {
      step: 'stream origin',
      endpoint: writer,
      streamsInDoubt: keys.length,
    });
    if (keys.length === 0) return;
    for (const key of keys) this.doubtedKeys.add(key);
    const excess = [...this.doubtedKeys].slice(0, -MAX_DOUBTED_KEYS);
    for (const key of excess) this.doubtedKeys.delete(key);
    for (const control of this.options.controls.ready) control.send('streamOriginsInDoubt', keys);
  }

  /** Finds out where a stream began. */
  async find(stream: ContinuedStream): Promise<OriginVerdict> {
    const { attempt, services } = stream;
    const sinceMs = this.options.nowMs();
    const request = { key: attempt === undefined ? '' : originKeyOf(attempt), services };
    let own = this.ownReply(request);
    let replies: OriginReply[] = [];
    if (own.origin === undefined) replies = await this.ask(request);
    for (const pauseMs of FURTHER_QUESTION_PAUSES_MS) {
      if (attempt === undefined || this.decide(own, replies).isKnown) break;
      await pause(pauseMs);
      own = this.ownReply(request);
      replies = await this.ask(request);
    }
    const verdict = this.decide(own, replies);
    this.report(stream, verdict, {
      replies: replies.length,
      tookMs: this.options.nowMs() - sinceMs,
    });
    return verdict;
  }

  /**
   * Whether this entry still takes its record of a stream as certain; true for streams that others began.
   */
  isCertain(attempt: StreamAttempt | undefined): boolean {
    if (attempt === undefined) return true;
    const key = originKeyOf(attempt);
    return !this.doubtedKeys.has(key) && this.isWriterCertain(key);
  }

  private isWriterCertain(key: string): boolean {
    const known = this.records.writerOf(key);
    return known === undefined || this.options.isWriterCertain(known.writer, known.begunAtMs);
  }

  private decide(own: OriginReply, replies: readonly OriginReply[]): OriginVerdict {
    return decideOrigin({ own, replies, controlCount: this.options.controlCount() });
  }

  private ownReply({ key, services }: OriginRequest): OriginReply {
    const nowMs = this.options.nowMs();
    const origin = this.records.find(key, nowMs);
    return {
      ...(origin === undefined || !this.isWriterCertain(key) ? {} : { origin }),
      versions: this.seenVersions.of(services, nowMs),
      coversKeepTime: nowMs - this.startedAtMs >= STREAM_KEEP_MS,
    };
  }

  /** Asks the holders of a record, then the other control processes if none of them has it. */
  private async ask(request: OriginRequest): Promise<OriginReply[]> {
    const { ready } = this.options.controls;
    const holders = this.holdersOf(request.key);
    const replies = await this.askAll(holders, request);
    if (replies.some(({ origin }) => origin !== undefined)) return replies;
    const others = ready.filter((control) => !holders.includes(control));
    return [...replies, ...(await this.askAll(others, request))];
  }

  /** Resolves with the replies so far once one holds the record or none is outstanding. */
  private askAll(controls: readonly PeerClient[], request: OriginRequest): Promise<OriginReply[]> {
    const replies: OriginReply[] = [];
    let pendingCount = controls.length;
    return new Promise((resolve) => {
      if (pendingCount === 0) resolve(replies);
      for (const control of controls) {
        void this.askOne(control, request).then((reply) => {
          pendingCount -= 1;
          if (reply !== undefined) replies.push(reply);
          if (pendingCount === 0 || reply?.origin !== undefined) resolve([...replies]);
        });
      }
    });
  }

  private async askOne(
    control: PeerClient,
    request: OriginRequest,
  ): Promise<OriginReply | undefined> {
    try {
      return (await control.request('streamOrigin', request, REPLY_TIMEOUT_MS)) as OriginReply;
    } catch (error) {
      this.options.logger.info('no reply about the origin of a stream', {
        step: 'stream origin',
        peer: control.peerName,
        reason: error instanceof Error ? error.message : String(error),
      });
      return undefined;
    }
  }

  private send(records: readonly OriginRecord[]): void {
    const byHolder = new Map<PeerClient, OriginRecord[]>();
    for (const record of records) {
      for (const holder of this.holdersOf(record.key))
        byHolder.set(holder, [...(byHolder.get(holder) ?? []), record]);
    }
    for (const [holder, held] of byHolder) holder.send('streamOrigins', held);
  }

  /** Returns the control processes that hold a record, of those that are connected. */
  private holdersOf(key: string): PeerClient[] {
    const { ready } = this.options.controls;
    if (ready.length <= HOLDERS) return ready;
    const names = ready.map(({ peerName }) => peerName);
    const chosen = new Set(rendezvousOrder(`stream|${key}`, names, HOLDERS));
    return ready.filter(({ peerName }) => chosen.has(peerName));
  }

  private report(
    { requestId, attempt }: ContinuedStream,
    verdict: OriginVerdict,
    { replies, tookMs }: { readonly replies: number; readonly tookMs: number },
  ): void {
    const evidence = verdict.isKnown ? verdict.evidence : verdict.reason;
    this.options.metrics.count('shedline_continued_streams_total', { evidence });
    this.options.logger.info('origin of a continued stream', {
      step: 'stream origin',
      request: requestId,
      ...(attempt === undefined ? {} : { resumes: attempt.requestId }),
      outcome: verdict.isKnown ? 'known' : 'unknown',
      evidence,
      ...(verdict.isKnown ? verdict.origin : {}),
      replies,
      controls: this.options.controlCount(),
      tookMs: Math.round(tookMs),
    });
  }
}
