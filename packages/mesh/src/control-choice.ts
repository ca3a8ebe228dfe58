/**
 * Chooses the control processes that a process keeps a connection to. The core, the control
 * processes with a disk, holds the state of the fleet and its member list. The other control
 * processes run on weak instances beside an entry and forward requests of endpoints and operators.
 * When all processes were connected to each other, 20 control processes of a fleet of 200 instances
 * had 220 connections each: the weak ones did not respond for over 1.3 s, all their peers
 * terminated the connections at once, and all connections were reopened.
 *
 * An unresponsive process may still be part of the fleet: after a network partition each side lists
 * only its own members. Each process therefore keeps trying to reconnect to the members that it
 * knew; otherwise the sides would remain separate fleets.
 */
import type { PeerAddress } from '@shedline/transport';
import type { MemberRecord } from './member-record.js';

/** Options of {@link controlsToConnect}. */
export interface ControlChoiceOptions {
  /** Control processes named in the settings. */
  readonly seeds: readonly PeerAddress[];
  /** Whether a control process has ever sent its member list to this process. */
  readonly hasSentList: (name: string) => boolean;
  /** Control processes that belong to the core even if no list contains them. */
  readonly persistentCore: readonly PeerAddress[];
  /** Control processes that are up according to the received lists. */
  readonly controls: readonly MemberRecord[];
  /** Whether the connection to a control process is up. */
  readonly isConnected: (name: string) => boolean;
}

/** Whether a process is a control process of the core, which holds the state of the fleet. */
export function isCore({ kind, memberId }: MemberRecord): boolean {
  return kind === 'control' && memberId !== undefined;
}

/**
 * Returns the control processes to connect to: the whole core, including its unresponsive members,
 * and all seeds until some of the core is connected. After that only seeds that have never sent a
 * list are included, as they may know a part of the fleet that this process does not know.
 */
export function controlsToConnect(options: ControlChoiceOptions): PeerAddress[] {
  const {
    seeds,
    hasSentList: hasTold,
    persistentCore: lastingCore,
    controls,
    isConnected,
  } = options;
  const core = controls.filter(isCore);
  if (core.length === 0) return [...seeds, ...controls, ...lastingCore];
  const isReached = core.some(({ name }) => isConnected(name));
  const asked = isReached ? seeds.filter(({ name }) => !hasTold(name)) : seeds;
  return [...asked, ...core, ...lastingCore];
}
