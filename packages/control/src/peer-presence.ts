/**
 * Tracks which processes of the cluster are up, from the announcements that they send every
 * 500 ms, and their member ids: a process that lost its disk restarts with another member id.
 */
import type { PeerConnections } from '@shedline/transport';
import type { Logger } from '@shedline/logger';

/** Time between announcements. */
export const PRESENCE_INTERVAL_MS = 500;
/** Time without an announcement after which a process no longer counts as up. */
const PRESENCE_LEASE_MS = 3000;

/** Announcement of a process. */
export interface PresenceMessage {
  readonly instance: string;
  readonly memberId: string;
  /** Cluster of the process; undefined while it is looking for one. */
  readonly clusterId: string | undefined;
}

/** Options of {@link PeerPresence}. */
export interface PeerPresenceOptions {
  readonly peers: PeerConnections;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Processes that announced themselves recently. */
export class PeerPresence {
  private readonly options: PeerPresenceOptions;
  private readonly lastSeen = new Map<string, { memberId: string; receivedAtMs: number }>();
  private joinedAtMs = 0;

  constructor(options: PeerPresenceOptions) {
    this.options = options;
  }

  /** Records that this process has joined its cluster. */
  recordJoin(): void {
    this.joinedAtMs = this.options.nowMs();
  }

  /** Announces this process to the peers. */
  announce(own: PresenceMessage): void {
    for (const peer of this.options.peers.ready) peer.send('presence', own);
    this.recordPresence(own);
  }

  /** Handles the announcement of a peer; ignores peers of another cluster. */
  receive(message: PresenceMessage, clusterId: string | undefined): void {
    // A process that is still looking for its cluster does not belong to one yet.
    if (message.clusterId === undefined || clusterId === undefined) return;
    if (message.clusterId !== clusterId) {
      this.options.logger.error('peer belongs to another cluster', {
        peer: message.instance,
        step: 'presence',
      });
      return;
    }
    this.recordPresence(message);
  }

  /** Member ids of the processes that are up. */
  get liveIds(): string[] {
    const nowMs = this.options.nowMs();
    const live = [...this.lastSeen.values()].filter(
      (entry) => nowMs - entry.receivedAtMs < PRESENCE_LEASE_MS,
    );
    return live.map((entry) => entry.memberId);
  }

  /** Time since the last announcement of a member, or since this process joined if none came. */
  lastSeenAgoMs(instance: string, memberId: string): number {
    const known = this.lastSeen.get(instance);
    const sinceMs = known?.memberId === memberId ? known.receivedAtMs : this.joinedAtMs;
    return this.options.nowMs() - sinceMs;
  }

  private recordPresence({ instance, memberId }: PresenceMessage): void {
    this.lastSeen.set(instance, { memberId, receivedAtMs: this.options.nowMs() });
  }
}
