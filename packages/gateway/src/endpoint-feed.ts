/**
 * Reads the heartbeats of endpoints from control processes: whole ones until the first are known,
 * then their digests and the descriptions that are still unknown. All replies are of bounded size, so
 * that a control process to which hundreds of entries connect at once can reply in time, and a reader
 * whose request times out repeats one page and not the whole list.
 */
import { KnownDescriptions } from '@shedline/fleet';
import type {
  AgedHeartbeat,
  DigestDelta,
  HeartbeatDigest,
  RegistryCursor,
  RegistryDelta,
} from '@shedline/fleet';
import type { RefreshRequest } from '@shedline/fleet-control';
import type { PeerClient } from '@shedline/transport';

/** Maximum number of whole heartbeats in one reply: about 40 KB. */
const MAX_HEARTBEATS_PER_REPLY = 256;
/** Maximum number of digests in one reply: about 40 KB. */
const MAX_DIGESTS_PER_REPLY = 2500;
/** Interval between removals of unused descriptions. */
const FORGET_INTERVAL_MS = 10_000;

/** Options of {@link EndpointFeed}. */
export interface EndpointFeedOptions {
  readonly nowMs: () => number;
  readonly requestTimeoutMs: number;
  readonly onHeartbeats: (heartbeats: readonly AgedHeartbeat[]) => void;
}

/** What a reader asks a control process for, as part of a {@link RefreshRequest}. */
export type FeedRequest = Omit<RefreshRequest, 'position'>;

/** The heartbeats of all endpoints, as read from several control processes. */
export class EndpointFeed {
  private readonly options: EndpointFeedOptions;
  private readonly cursors = new Map<string, RegistryCursor>();
  private readonly descriptions = new KnownDescriptions();
  /** Sequence number of the last heartbeat that was passed on, by fingerprint of its description. */
  private readonly lastSequences = new Map<number, number>();
  private forgottenAtMs = 0;

  constructor(options: EndpointFeedOptions) {
    this.options = options;
  }

  /** Whether no endpoint is known yet. */
  get isEmpty(): boolean {
    return this.descriptions.isEmpty;
  }

  /** Returns the request for the changes since the last reply of a control process. */
  requestFor(control: string): FeedRequest {
    const cursor = this.cursors.get(control) ?? { epoch: '', cursor: 0 };
    return this.isEmpty
      ? { ...cursor, maxHeartbeats: MAX_HEARTBEATS_PER_REPLY }
      : { ...cursor, maxHeartbeats: MAX_DIGESTS_PER_REPLY, wantsDigests: true };
  }

  /**
   * Applies a reply, and reads descriptions that it refers to; returns whether more changes follow.
   */
  async apply(control: PeerClient, reply: RegistryDelta | DigestDelta): Promise<boolean> {
    if ('digests' in reply) await this.applyDigests(control, reply);
    else this.receive(reply.heartbeats);
    const { epoch, cursor, hasMore = false } = reply;
    this.cursors.set(control.peerName, { epoch, cursor });
    return hasMore;
  }

  /** Handles whole heartbeats, as read or as pushed by a control process. */
  receive(heartbeats: readonly AgedHeartbeat[]): void {
    const nowMs = this.options.nowMs();
    this.descriptions.learn(heartbeats, nowMs);
    this.options.onHeartbeats(heartbeats);
    if (nowMs - this.forgottenAtMs < FORGET_INTERVAL_MS) return;
    this.forgottenAtMs = nowMs;
    this.descriptions.forgetUnused(nowMs);
    this.lastSequences.clear();
  }

  private isPassedOn([fingerprint, sequence]: HeartbeatDigest): boolean {
    return (this.lastSequences.get(fingerprint) ?? -Infinity) >= sequence;
  }

  private noteSequences(
    digests: readonly HeartbeatDigest[],
    unknownFingerprints: ReadonlySet<number>,
  ): void {
    for (const [fingerprint, sequence] of digests) {
      if (!unknownFingerprints.has(fingerprint)) this.lastSequences.set(fingerprint, sequence);
    }
  }

  private async applyDigests(control: PeerClient, { digests }: DigestDelta): Promise<void> {
    // Each heartbeat is read from several control processes; only the first copy has an effect.
    const news = digests.filter((digest) => !this.isPassedOn(digest));
    const { heartbeats, unknownFingerprints } = this.descriptions.resolve(
      news,
      this.options.nowMs(),
    );
    this.options.onHeartbeats(heartbeats);
    this.noteSequences(news, new Set(unknownFingerprints));
    for (let first = 0; first < unknownFingerprints.length; first += MAX_HEARTBEATS_PER_REPLY) {
      const fingerprints = unknownFingerprints.slice(first, first + MAX_HEARTBEATS_PER_REPLY);
      const { requestTimeoutMs } = this.options;
      const described = await control.request(
        'endpointDescriptions',
        fingerprints,
        requestTimeoutMs,
      );
      this.receive(described as AgedHeartbeat[]);
    }
  }
}
