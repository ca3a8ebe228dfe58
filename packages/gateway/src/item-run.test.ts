import test from 'ava';
import type { EndpointProtocol, SendReceiver, StreamEvent } from '@shedline/forwarding';
import { describe, title } from '@shedline/test-utils';
import type { ItemProgress } from '@shedline/whole-jobs';
import { ItemRun } from './item-run.js';

const PROTOCOL = {
  sharedPartsOf: () => [],
  sendHeaders: () => [],
} as unknown as EndpointProtocol;

const ORIGIN = { service: 's', softwareVersion: 'v1' };

/** A run whose events are passed in by the test. */
function startRun(progress?: ItemProgress, isConfirmed = true) {
  let receiver: SendReceiver | undefined;
  let resumeAfterEventId: string | undefined;
  let complete: () => void = () => undefined;
  const run = new ItemRun({
    runNumber: 1,
    group: 1,
    granted: {
      jobId: 'job',
      index: 0,
      host: 'h',
      mustRunAlone: true,
      progress,
      item: { itemId: 'item', path: '/', headers: [], body: '' },
    } as unknown as ConstructorParameters<typeof ItemRun>[0]['granted'],
    endpointId: 'e',
    address: 'a:1',
    origin: ORIGIN,
    sender: {
      send: (_send, given) => {
        receiver = given;
        return {
          result: new Promise((resolve) => {
            complete = () => {
              resolve({ kind: 'complete' });
            };
          }),
          stop: () => undefined,
          resume: () => undefined,
        };
      },
    },
    protocol: {
      ...PROTOCOL,
      sendHeaders: (_request, terms) => {
        ({ resumeAfterEventId } = terms);
        return [];
      },
    },
    nowMs: () => 0,
    confirmServing: () => Promise.resolve(isConfirmed),
    isWriterCertain: () => isConfirmed,
  });
  const receive = (id: string): void => {
    const event: StreamEvent = { id, bytes: Buffer.from(`id: ${id}\ndata: text ${id}\n\n`) };
    receiver?.onPart(event.bytes, event);
  };
  return { run, receive, resumeAfterEventId, complete };
}

describe('ItemRun', () => {
  // A stop still reads what has arrived, after the progress may have been returned to the stores.
  test(title('events after a stop do not change the progress taken before'), (t) => {
    const { run, receive } = startRun();
    receive('1');
    const progress = run.progress;
    run.stop();
    receive('2');
    t.deepEqual(progress, { pieces: ['text 1'], lastEventId: '1', origin: ORIGIN });
    const pieces = ['text 1', 'text 2'];
    t.deepEqual(run.progress, { pieces, lastEventId: '2', origin: ORIGIN });
  });

  // Guards against an endpoint that stays closed to other items while a harmless item completes.
  test(title('an item that must run alone does so until it has progressed'), (t) => {
    const { run, receive } = startRun();
    for (let event = 1; event <= 16; event += 1) receive(String(event));
    t.true(run.needsEndpointAlone);
    receive('17');
    t.false(run.needsEndpointAlone);
  });

  describe('with progress of earlier runs', () => {
    const progress = { pieces: ['text 1'], lastEventId: '1' };

    test(title('continues if an endpoint of the same software version wrote it'), (t) => {
      const { run, receive, resumeAfterEventId } = startRun({ ...progress, origin: ORIGIN });
      receive('2');
      t.is(resumeAfterEventId, '1');
      t.is(run.text, 'text 1\ntext 2');
      t.deepEqual([run.isFromStart, run.droppedEvents], [false, 0]);
    });

    test(title('drops what a later incarnation may have written'), async (t) => {
      const { run, receive, complete } = startRun({ ...progress, origin: ORIGIN }, false);
      receive('2');
      complete();
      t.like(await run.result, { kind: 'ended' });
      t.deepEqual(run.progress, { ...progress, origin: ORIGIN });
    });

    test(title('keeps none if it is not certain what wrote it'), (t) => {
      const { run, receive } = startRun(undefined, false);
      receive('1');
      t.is(run.progress, undefined);
    });

    // An earlier version of shedline stored progress without what wrote it.
    const others = {
      'another software version': { ...ORIGIN, softwareVersion: 'v2' },
      'another service': { ...ORIGIN, service: 'other' },
      'an unknown endpoint': undefined,
    };
    for (const [writer, origin] of Object.entries(others)) {
      test(title(`starts again if ${writer} wrote it`), (t) => {
        const given = origin === undefined ? progress : { ...progress, origin };
        const { run, receive, resumeAfterEventId } = startRun(given);
        receive('1');
        t.is(resumeAfterEventId, undefined);
        t.is(run.text, 'text 1');
        t.deepEqual([run.isFromStart, run.droppedEvents], [true, 1]);
      });
    }
  });
});
