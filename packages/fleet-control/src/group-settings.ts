/**
 * Timings and sizes of the log groups of a fleet.
 */
import type { GroupNodeSettings } from '@shedline/control';

/** Three missed heartbeats and a margin: an election costs less than a second. */
const ELECTION_TIMEOUT_MS = 600;
/**
 * After a start: connections stand 30 ms after a process listens (played loss of all power, Forma),
 * a standing leader refuses the pre-vote, and each try doubles the time.
 */
const FIRST_ELECTION_TIMEOUT_MS = 70;
/** A follower learns of a commit within one of these. */
const HEARTBEAT_INTERVAL_MS = 100;
/**
 * A voter that is silent for longer than a process takes to restart is replaced where a spare is
 * up. A spare has to count five seconds after it started, so this must leave time to copy.
 */
const REPLACE_AFTER_MS = 2500;
/** Small disks bound the log: at most six segments are kept. Bytes. */
const MAX_SEGMENT_BYTES = 2 * 1024 * 1024;
/** Log bytes after which a group is snapshotted; about two segments. */
const SNAPSHOT_AFTER_BYTES = 3 * 1024 * 1024;

/** Settings of a group node that bears `toleratedLosses` losses at once. */
export function groupSettings(dataDir: string, toleratedLosses: number): GroupNodeSettings {
  return {
    dataDir,
    voterCount: 2 * toleratedLosses + 1,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    firstElectionTimeoutMs: FIRST_ELECTION_TIMEOUT_MS,
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
    replaceAfterMs: REPLACE_AFTER_MS,
    snapshotAfterBytes: SNAPSHOT_AFTER_BYTES,
    maxSegmentBytes: MAX_SEGMENT_BYTES,
  };
}
