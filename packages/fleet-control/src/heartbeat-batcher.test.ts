import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';
import { describe, title } from '@shedline/test-utils';
import { HeartbeatBatcher } from './heartbeat-batcher.js';

/** Longer than the delay of a batch of urgent heartbeats. */
const BATCH_SENT_MS = 150;
const HEARTBEAT_MS = 900;
const REPEATED_SENT_MS = HEARTBEAT_MS / 3 + BATCH_SENT_MS;

function heartbeatOf(endpointId: string): EndpointHeartbeat {
  return {
    endpointId,
    startedAtMs: 1,
    service: 's',
    address: '10.0.0.1:80',
    availabilityZone: 'z',
    slots: 8,
    warmUpLeftMs: 0,
    sequence: 1,
  };
}

/** Records the batches sent to each group of recipients. */
class RecordingBatcher {
  readonly toControls: string[][] = [];
  readonly toAll: string[][] = [];
  readonly agesMs: number[] = [];
  nowMs = 0;
  readonly batcher = new HeartbeatBatcher({
    heartbeatMs: HEARTBEAT_MS,
    nowMs: () => this.nowMs,
    sendToControls: (heartbeats) => {
      this.toControls.push(idsOf(heartbeats));
      this.agesMs.push(...heartbeats.map(({ ageMs }) => ageMs));
    },
    sendToAll: (heartbeats) => this.toAll.push(idsOf(heartbeats)),
  });
}

function idsOf(heartbeats: readonly AgedHeartbeat[]): string[] {
  return heartbeats.map(({ heartbeat }) => heartbeat.endpointId);
}

describe('heartbeat batcher', () => {
  test(title('heartbeats received together are sent in one message per recipient'), async (t) => {
    const recording = new RecordingBatcher();
    const ids = Array.from({ length: 3000 }, (_, number) => `e${number}`);
    for (const id of ids) recording.batcher.add(heartbeatOf(id), 'firstOfRun');
    await pause(BATCH_SENT_MS);
    t.deepEqual(recording.toAll, [ids]);
    t.deepEqual(recording.toControls, [ids]);
  });

  test(title('only the first heartbeat of an incarnation is sent to all processes'), async (t) => {
    const recording = new RecordingBatcher();
    recording.batcher.add(heartbeatOf('known'), 'repeated');
    await pause(REPEATED_SENT_MS);
    recording.batcher.add(heartbeatOf('new'), 'firstOfRun');
    await pause(BATCH_SENT_MS);
    t.deepEqual(recording.toAll, [['new']]);
    t.deepEqual(recording.toControls, [['known'], ['new']]);
  });

  // An entry removes an endpoint whose changes wait behind heartbeats that are not urgent.
  test(title('an urgent heartbeat takes the waiting ones along'), async (t) => {
    const recording = new RecordingBatcher();
    recording.batcher.add(heartbeatOf('known'), 'repeated');
    recording.batcher.add(heartbeatOf('changed'), 'changed');
    recording.batcher.add(heartbeatOf('known'), 'repeated');
    await pause(BATCH_SENT_MS);
    t.deepEqual(recording.toControls, [['known', 'changed', 'known']]);
    await pause(REPEATED_SENT_MS);
    t.is(recording.toControls.length, 1);
  });

  test(title('the delay of a heartbeat in the batch counts towards its age'), async (t) => {
    const recording = new RecordingBatcher();
    recording.batcher.add(heartbeatOf('e'), 'firstOfRun');
    recording.nowMs = 7;
    await pause(BATCH_SENT_MS);
    t.deepEqual(recording.agesMs, [7]);
  });

  test(title('sends nothing after it is closed'), async (t) => {
    const recording = new RecordingBatcher();
    recording.batcher.add(heartbeatOf('e'), 'firstOfRun');
    recording.batcher.close();
    await pause(BATCH_SENT_MS);
    t.deepEqual(recording.toControls, []);
  });
});
