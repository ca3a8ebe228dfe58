/**
 * Timeouts and sizes of the consensus groups of a fleet.
 */
import type { GroupNodeSettings } from '@shedline/control';

/** Three missed heartbeats and a margin, so that an election takes less than a second. */
const ELECTION_TIMEOUT_MS = 600;
/**
 * First election timeout after a start. It may be short: when a whole fleet restarts, connections
 * are established 30 ms after a process listens; a group that has a leader rejects the pre-vote;
 * and each attempt doubles the timeout.
 */
const FIRST_ELECTION_TIMEOUT_MS = 70;
/** A follower learns of a commit within one interval. */
const HEARTBEAT_INTERVAL_MS = 100;
/**
 * A third of the election timeout, so that one lost heartbeat causes no election. Heartbeats of idle
 * groups every 100 ms were two thirds of the messages of an idle store.
 */
const IDLE_HEARTBEAT_INTERVAL_MS = 200;
/**
 * Time after which an unresponsive voter is replaced if a spare is up; longer than the restart of a
 * process. A spare must be a voter five seconds after its start, so this must leave time to copy the
 * state.
 */
const REPLACE_AFTER_MS = 2500;
/** Segment size in bytes; at most six segments are kept, because disks are small. */
const MAX_SEGMENT_BYTES = 2 * 1024 * 1024;
/** Log bytes of a group after which a snapshot is taken; about two segments. */
const SNAPSHOT_AFTER_BYTES = 3 * 1024 * 1024;

/** Returns the settings of a group node that tolerates `toleratedLosses` simultaneous losses. */
export function groupSettings(dataDir: string, toleratedLosses: number): GroupNodeSettings {
  return {
    dataDir,
    voterCount: 2 * toleratedLosses + 1,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    firstElectionTimeoutMs: FIRST_ELECTION_TIMEOUT_MS,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    idleHeartbeatIntervalMs: IDLE_HEARTBEAT_INTERVAL_MS,
    replaceAfterMs: REPLACE_AFTER_MS,
    snapshotAfterBytes: SNAPSHOT_AFTER_BYTES,
    maxSegmentBytes: MAX_SEGMENT_BYTES,
  };
}
