/**
 * Which processes of the cluster are up, from what they say of themselves twice a second, and
 * under which identity: one that lost its disk comes back under another.
 */
import type { PeerConnections } from '@shedline/transport';
import type { Logger } from '@shedline/logger';

/** Time between announcements. */
export const PRESENCE_INTERVAL_MS = 500;
/** Silence after which a process no longer counts as up. */
const PRESENCE_LEASE_MS = 3000;

/** What a process says of itself. */
export interface PresenceMessage {
  readonly instance: string;
  readonly memberId: string;
  /** Cluster that it belongs to; undefined while it looks for one. */
  readonly clusterId: string | undefined;
}

/** Options of {@link PeerPresence}. */
export interface PeerPresenceOptions {
  readonly peers: PeerConnections;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Processes heard lately. */
export class PeerPresence {
  private readonly options: PeerPresenceOptions;
  private readonly heard = new Map<string, { memberId: string; heardAtMs: number }>();
  private joinedAtMs = 0;

  constructor(options: PeerPresenceOptions) {
    this.options = options;
  }

  /** This process became part of its cluster. */
  joined(): void {
    this.joinedAtMs = this.options.nowMs();
  }

  /** Tells the peers that this process is up. */
  announce(own: PresenceMessage): void {
    for (const peer of this.options.peers.ready) peer.send('presence', own);
    this.hear(own);
  }

  /** Takes what a peer says; peers of another cluster do not count. */
  receive(message: PresenceMessage, clusterId: string | undefined): void {
    // A process that still looks for its cluster belongs to none yet.
    if (message.clusterId === undefined || clusterId === undefined) return;
    if (message.clusterId !== clusterId) {
      this.options.logger.error('peer belongs to another cluster', {
        peer: message.instance,
        step: 'presence',
      });
      return;
    }
    this.hear(message);
  }

  /** Identities of the processes that are up. */
  get liveIds(): string[] {
    const nowMs = this.options.nowMs();
    const live = [...this.heard.values()].filter(
      (entry) => nowMs - entry.heardAtMs < PRESENCE_LEASE_MS,
    );
    return live.map((entry) => entry.memberId);
  }

  /** Time since a member was last heard; since this process joined where it never was. */
  unheardMs(instance: string, memberId: string): number {
    const known = this.heard.get(instance);
    const sinceMs = known?.memberId === memberId ? known.heardAtMs : this.joinedAtMs;
    return this.options.nowMs() - sinceMs;
  }

  private hear({ instance, memberId }: PresenceMessage): void {
    this.heard.set(instance, { memberId, heardAtMs: this.options.nowMs() });
  }
}
