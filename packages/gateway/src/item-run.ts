/**
 * One execution attempt of a batch item at one endpoint.
 */
import type { GrantedItem } from '@shedline/fleet-control';
import { dataOf } from '@shedline/forwarding';
import type {
  CallerRequest,
  EndpointProtocol,
  RequestSender,
  RunningSend,
  SendResult,
} from '@shedline/forwarding';
import { isSameOrigin } from '@shedline/stream-origins';
import type { StreamOrigin } from '@shedline/stream-origins';
import { MIN_PROGRESS_EVENTS } from '@shedline/whole-jobs';
import type { ItemProgress, ItemRef } from '@shedline/whole-jobs';

/**
 * Time without data after which a run is aborted, to be resumed at another endpoint. A free slot
 * responds within 0.1 s; output that the endpoint has generated but not sent is lost.
 */
const MAX_DATA_GAP_MS = 1500;

/** Options of {@link ItemRun}. */
export interface ItemRunOptions {
  /** Sequence number of the run in this process. */
  readonly runNumber: number;
  readonly group: number;
  readonly granted: GrantedItem;
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  /** Service and software version of the endpoint. */
  readonly origin: StreamOrigin;
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly nowMs: () => number;
  /** See `EndpointChooser.confirmServing`. */
  readonly confirmServing: (endpointId: string) => Promise<boolean>;
  /** See `EndpointChooser.isWriterCertain`. */
  readonly isWriterCertain: (endpointId: string, atMs: number) => boolean;
  /** Called once, with the first part of the response. */
  readonly onFirstEvent?: () => void;
}

/** A running item; resumes from the progress of previous runs if the same software version wrote it. */
export class ItemRun {
  readonly runNumber: number;
  readonly group: number;
  readonly ref: ItemRef;
  readonly granted: GrantedItem;
  readonly endpointId: string;
  readonly address: string;
  readonly origin: StreamOrigin;
  readonly startedAtMs: number;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[];
  readonly result: Promise<SendResult>;
  /** Whether this run started from the beginning, not from the progress of previous runs. */
  readonly isFromStart: boolean;
  /** Number of events of previous runs from which this run continued. */
  readonly resumedAfterEvents: number;
  private readonly sending: RunningSend;
  private readonly pieces: string[];
  private lastEventId: string | undefined;
  private firstPartAtMs: number | undefined;
  private readonly isWriterCertain: ItemRunOptions['isWriterCertain'];
  /** Whether the incarnation that continues earlier runs is the one that was chosen. */
  private confirmation: Promise<boolean> | undefined;
  private hasBeenStopped = false;
  private hasBeenShared = false;

  constructor(options: ItemRunOptions) {
    const { granted, sender, protocol, endpointId, address } = options;
    this.runNumber = options.runNumber;
    this.group = options.group;
    this.granted = granted;
    this.endpointId = endpointId;
    this.address = address;
    this.origin = options.origin;
    this.isWriterCertain = options.isWriterCertain;
    this.ref = { jobId: granted.jobId, index: granted.index };
    this.startedAtMs = options.nowMs();
    const progress = continuableProgress(granted, options.origin);
    this.isFromStart = progress === undefined;
    this.pieces = [...(progress?.pieces ?? [])];
    this.resumedAfterEvents = this.pieces.length;
    this.lastEventId = progress?.lastEventId;
    const request = callerRequestOf(granted);
    this.sharedParts = protocol.sharedPartsOf(request.headers);
    const terms = { endpointId, timeLeftMs: undefined, resumeAfterEventId: this.lastEventId };
    this.sending = sender.send(
      {
        endpointId,
        address,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: protocol.sendHeaders(request, terms),
        body: request.body,
        mayBeRepeated: true,
        isBatch: true,
        silence: { limitMs: MAX_DATA_GAP_MS, action: 'giveUp' },
      },
      {
        onHead: () => undefined,
        onPart: (bytes, event) => {
          if (!this.hasBegun) options.onFirstEvent?.();
          this.firstPartAtMs ??= options.nowMs();
          if (!this.isFromStart) this.confirmation ??= options.confirmServing(endpointId);
          this.pieces.push(event === undefined ? bytes.toString('utf8') : dataOf(event));
          if (event?.id !== undefined) this.lastEventId = event.id;
          return true;
        },
      },
    );
    this.result = this.sending.result.then((result) => this.confirmed(result));
  }

  /** Drops the events of this run if they may be those of a later incarnation of its endpoint. */
  private async confirmed(result: SendResult): Promise<SendResult> {
    if (this.confirmation === undefined || (await this.confirmation)) return result;
    this.pieces.length = this.resumedAfterEvents;
    this.lastEventId = this.granted.progress?.lastEventId;
    return {
      kind: 'ended',
      outcome: { kind: 'brokeOff', reason: 'the endpoint may have restarted', isUnconfirmed: true },
    };
  }

  /** Number of events of previous runs that another software version wrote; they are not used. */
  get droppedEvents(): number {
    return this.isFromStart ? (this.granted.progress?.pieces.length ?? 0) : 0;
  }

  /** Number of events received, including previous runs. */
  get eventCount(): number {
    return this.pieces.length;
  }

  /** Text received, including previous runs. */
  get text(): string {
    return this.pieces.join('\n');
  }

  /**
   * Progress from which another run can resume; undefined if the item cannot be resumed or it is not
   * certain which software version wrote its events. Events that
   * arrive later do not change it: they would stand twice in the text of the next run.
   */
  get progress(): ItemProgress | undefined {
    const { lastEventId, origin, endpointId, firstPartAtMs = -Infinity } = this;
    if (this.isFromStart && !this.isWriterCertain(endpointId, firstPartAtMs)) return undefined;
    return lastEventId === undefined
      ? undefined
      : { pieces: [...this.pieces], lastEventId, origin };
  }

  /** Whether the run was stopped; its result follows once what has arrived is read. */
  get isStopped(): boolean {
    return this.hasBeenStopped;
  }

  /** Whether this run has brought any part of a response. */
  get hasBegun(): boolean {
    return this.firstPartAtMs !== undefined;
  }

  /** Whether another item has run at the endpoint during this run. */
  get isShared(): boolean {
    return this.hasBeenShared;
  }

  /**
   * Whether no other item may start at the endpoint. An item that crashes its endpoint does so
   * before it has progressed, so the endpoint is left to others as soon as it has.
   */
  get needsEndpointAlone(): boolean {
    const progressEvents = this.pieces.length - this.resumedAfterEvents;
    return this.granted.mustRunAlone === true && progressEvents <= MIN_PROGRESS_EVENTS;
  }

  /** Records that another item runs at the endpoint. */
  noteShared(): void {
    this.hasBeenShared = true;
  }

  /** Aborts the run. */
  stop(): void {
    this.hasBeenStopped = true;
    this.sending.stop();
  }
}

/** Returns the progress of previous runs if an endpoint of this origin may continue it. */
function continuableProgress(
  { progress }: GrantedItem,
  origin: StreamOrigin,
): ItemProgress | undefined {
  const isContinuable = progress?.origin !== undefined && isSameOrigin(progress.origin, origin);
  return isContinuable ? progress : undefined;
}

function callerRequestOf(granted: GrantedItem): CallerRequest {
  const { item, host, workspace } = granted;
  return {
    ...(workspace === undefined ? {} : { workspace }),
    requestId: item.itemId,
    method: 'POST',
    path: item.path,
    headers: ['Host', host, ...item.headers],
    body: Buffer.from(item.body),
  };
}
