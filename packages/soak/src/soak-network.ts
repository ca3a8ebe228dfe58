/**
 * The network between the processes of a run: a relay in front of each, and the impairments of the
 * traffic between them.
 */
import { NetworkPartition } from './network-partition.js';
import type { Role } from './fault-plan.js';
import type { ProcessSpec } from './process-set.js';
import { Relay, BLOCKED, NO_IMPAIRMENT } from './relay.js';
import type { LinkImpairment } from './relay.js';

/** Directions in which the traffic of a process is impaired. */
export type ImpairedDirections = 'in' | 'both';

/** Relays and the current impairments. */
export class SoakNetwork {
  private readonly peerPortOf: (role: Role) => number;
  private readonly relays = new Map<string, Relay>();
  /** Impairments of the traffic to and from processes, by process host. */
  private readonly inboundImpairments = new Map<string, LinkImpairment>();
  private readonly outboundImpairments = new Map<string, LinkImpairment>();
  /** The network partition in effect, if any. */
  private currentPartition: NetworkPartition | undefined;

  /** `peerPortOf` returns the peer port of a role, which relays listen on. */
  constructor(peerPortOf: (role: Role) => number) {
    this.peerPortOf = peerPortOf;
  }

  /** Starts the relay of a process. */
  async open({ name, role, host, processHost }: ProcessSpec): Promise<void> {
    const port = this.peerPortOf(role);
    const relay = new Relay({ host, processHost, port }, (from, to) =>
      this.impairmentBetween(from, to),
    );
    await relay.listen();
    this.relays.set(name, relay);
  }

  /** Impairs the traffic to a process, or in both directions, until {@link restore}. */
  impair(
    { processHost }: ProcessSpec,
    impairment: LinkImpairment,
    directions: ImpairedDirections,
  ): void {
    this.inboundImpairments.set(processHost, impairment);
    if (directions === 'both') this.outboundImpairments.set(processHost, impairment);
  }

  /** Removes the impairment of a process. */
  restore({ processHost }: ProcessSpec): void {
    this.inboundImpairments.delete(processHost);
    this.outboundImpairments.delete(processHost);
  }

  /** Splits processes into two sides until {@link heal}; see {@link NetworkPartition}. */
  partition(specs: readonly ProcessSpec[]): NetworkPartition {
    this.currentPartition = new NetworkPartition(specs);
    return this.currentPartition;
  }

  /** Ends the partition. */
  heal(): void {
    this.currentPartition = undefined;
  }

  /** Resets all connections to a process. */
  reset(name: string): void {
    this.relays.get(name)?.reset();
  }

  /** Drops all further data of the open connections, which stay open; new connections work. */
  silenceOpen(): void {
    for (const relay of this.relays.values()) relay.silenceOpen();
  }

  /** Closes all relays. */
  async close(): Promise<void> {
    await Promise.all([...this.relays.values()].map((relay) => relay.close()));
  }

  private impairmentBetween(from: string, to: string): LinkImpairment {
    if (this.currentPartition?.separates(from, to) === true) return BLOCKED;
    const impairments = [
      this.outboundImpairments.get(from) ?? NO_IMPAIRMENT,
      this.inboundImpairments.get(to) ?? NO_IMPAIRMENT,
    ];
    return {
      isBlocked: impairments.some(({ isBlocked }) => isBlocked),
      delayMs: Math.max(...impairments.map(({ delayMs }) => delayMs)),
    };
  }
}
