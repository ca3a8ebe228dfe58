/**
 * One run of one item at one endpoint.
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
import type { ItemProgress, ItemRef } from '@shedline/whole-jobs';

/**
 * Silence after which an item goes on elsewhere. A free slot begins to answer within a tenth of a
 * second; what is lost is what the endpoint made and did not send.
 */
const SILENCE_LIMIT_MS = 1500;

/** Options of {@link ItemRun}. */
export interface ItemRunOptions {
  /** Number of the run in this process. */
  readonly runNumber: number;
  readonly group: number;
  readonly granted: GrantedItem;
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly nowMs: () => number;
  /** Called once, when the endpoint begins to answer. */
  readonly onBegun?: () => void;
}

/** An item under way; it goes on from what earlier runs of the item brought. */
export class ItemRun {
  readonly runNumber: number;
  readonly group: number;
  readonly ref: ItemRef;
  readonly granted: GrantedItem;
  readonly endpointId: string;
  readonly address: string;
  readonly startedAtMs: number;
  readonly result: Promise<SendResult>;
  /** Whether the whole item was made by this run. */
  readonly isWhole: boolean;
  private readonly sending: RunningSend;
  private readonly pieces: string[];
  private lastEventId: string | undefined;
  private hasBegun = false;

  constructor(options: ItemRunOptions) {
    const { granted, sender, protocol, endpointId, address } = options;
    this.runNumber = options.runNumber;
    this.group = options.group;
    this.granted = granted;
    this.endpointId = endpointId;
    this.address = address;
    this.ref = { jobId: granted.jobId, index: granted.index };
    this.startedAtMs = options.nowMs();
    this.isWhole = granted.progress === undefined;
    this.pieces = [...(granted.progress?.pieces ?? [])];
    this.lastEventId = granted.progress?.lastEventId;
    const request = callerRequestOf(granted);
    const terms = { endpointId, timeLeftMs: undefined, resumeAfterEventId: this.lastEventId };
    this.sending = sender.send(
      {
        address,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: protocol.sendHeaders(request, terms),
        body: request.body,
        mayBeRepeated: true,
        silence: { limitMs: SILENCE_LIMIT_MS, then: 'giveUp' },
      },
      {
        onHead: () => undefined,
        onPart: (bytes, event) => {
          if (!this.hasBegun) options.onBegun?.();
          this.hasBegun = true;
          this.pieces.push(event === undefined ? bytes.toString('utf8') : dataOf(event));
          if (event?.id !== undefined) this.lastEventId = event.id;
          return true;
        },
      },
    );
    this.result = this.sending.result;
  }

  /** Events so far, those of earlier runs included. */
  get eventCount(): number {
    return this.pieces.length;
  }

  /** Text of the item so far. */
  get text(): string {
    return this.pieces.join('\n');
  }

  /** How far the item got; undefined where it cannot go on from there. */
  get progress(): ItemProgress | undefined {
    const { pieces, lastEventId } = this;
    return lastEventId === undefined ? undefined : { pieces, lastEventId };
  }

  /** Breaks the run off. */
  stop(): void {
    this.sending.stop();
  }
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
