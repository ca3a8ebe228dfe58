import test from 'ava';
import type { EndpointProtocol, SendReceiver, StreamEvent } from '@shedline/forwarding';
import { describe, title } from '@shedline/test-utils';
import { ItemRun } from './item-run.js';

const PROTOCOL = { sendHeaders: () => [] } as unknown as EndpointProtocol;

/** A run whose events are passed in by the test. */
function startRun() {
  let receiver: SendReceiver | undefined;
  const run = new ItemRun({
    runNumber: 1,
    group: 1,
    granted: {
      jobId: 'job',
      index: 0,
      host: 'h',
      mustRunAlone: true,
      item: { itemId: 'item', path: '/', headers: [], body: '' },
    } as unknown as ConstructorParameters<typeof ItemRun>[0]['granted'],
    endpointId: 'e',
    address: 'a:1',
    softwareVersion: 'v1',
    sender: {
      send: (_send, given) => {
        receiver = given;
        return {
          result: new Promise(() => undefined),
          stop: () => undefined,
          resume: () => undefined,
        };
      },
    },
    protocol: PROTOCOL,
    nowMs: () => 0,
  });
  const receive = (id: string): void => {
    const event: StreamEvent = { id, bytes: Buffer.from(`id: ${id}\ndata: text ${id}\n\n`) };
    receiver?.onPart(event.bytes, event);
  };
  return { run, receive };
}

describe('ItemRun', () => {
  // A stop still reads what has arrived, after the progress may have been returned to the stores.
  test(title('events after a stop do not change the progress taken before'), (t) => {
    const { run, receive } = startRun();
    receive('1');
    const progress = run.progress;
    run.stop();
    receive('2');
    t.deepEqual(progress, { pieces: ['text 1'], lastEventId: '1' });
    t.deepEqual(run.progress, { pieces: ['text 1', 'text 2'], lastEventId: '2' });
  });

  // Guards against an endpoint that stays closed to other items while a harmless item completes.
  test(title('an item that must run alone does so until it has progressed'), (t) => {
    const { run, receive } = startRun();
    for (let event = 1; event <= 16; event += 1) receive(String(event));
    t.true(run.needsEndpointAlone);
    receive('17');
    t.false(run.needsEndpointAlone);
  });
});
