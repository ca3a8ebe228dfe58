/**
 * Tracks which processes of the cluster are up, from the announcements that they send
 * periodically, and their member ids: a process that lost its disk restarts with another member id.
 */
import type { Link, PeerConnections } from '@shedline/transport';
import type { Logger } from '@shedline/logger';
import { PresenceSchedule } from './presence-schedule.js';

/** Reply to an announcement, for the connection that carried it. */
const PRESENCE_REPLY = 'presenceReply';
/** Time without an announcement after which a process no longer counts as up. */
const PRESENCE_LEASE_MS = 3000;

/** Announcement of a process. */
export interface PresenceMessage {
  readonly instance: string;
  readonly memberId: string;
  /** Cluster of the process; undefined while it is looking for one. */
  readonly clusterId: string | undefined;
  /**
   * Whether the receiver has to reply over the same connection, on which it sends nothing otherwise.
   * Earlier versions neither ask nor reply; their connections are kept alive by pings.
   */
  readonly wantsReply?: boolean;
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
  private readonly schedule = new PresenceSchedule();
  private joinedAtMs = 0;

  constructor(options: PeerPresenceOptions) {
    this.options = options;
  }

  /** Records that this process has joined its cluster. */
  recordJoin(): void {
    this.joinedAtMs = this.options.nowMs();
  }

  /** Announces this process to the peers for which an announcement is due; called periodically. */
  announce(own: PresenceMessage): void {
    const { peers, nowMs } = this.options;
    const connected = peers.ready.map(({ peerName }) => peerName);
    for (const name of this.schedule.due(connected, nowMs())) {
      peers.get(name)?.send('presence', own);
    }
    this.recordPresence(own);
  }

  /** Handles the announcement of a peer; ignores peers of another cluster. */
  receive(
    message: PresenceMessage,
    clusterId: string | undefined,
    link?: Pick<Link, 'send'>,
  ): void {
    if (message.wantsReply === true) link?.send(PRESENCE_REPLY, null);
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
