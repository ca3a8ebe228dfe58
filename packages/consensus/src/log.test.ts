import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { MemoryLog } from './log.js';

const MEGABYTE = 1024 * 1024;

function createLog(): MemoryLog {
  const baseConfig = { voters: ['a'], learners: [] };
  return new MemoryLog({ baseIndex: 0, baseTerm: 0, baseConfig, entries: [] });
}

describe('MemoryLog', () => {
  // Guards against a store whose memory grows with the messages that brought its entries, not with
  // the entries themselves.
  test(title('does not keep the buffer that the data of an entry is part of'), (t) => {
    const log = createLog();
    const message = new Uint8Array(MEGABYTE).fill(7);
    log.append({ index: 1, term: 1, kind: 'command', data: message.subarray(10, 30) });
    const data = log.entryAt(1)?.data;
    t.deepEqual(data, new Uint8Array(20).fill(7));
    t.is(data?.buffer.byteLength, 20);
  });

  test(title('keeps data that has a buffer of its own without a copy'), (t) => {
    const log = createLog();
    const data = new Uint8Array(20);
    log.append({ index: 1, term: 1, kind: 'command', data });
    t.is(log.entryAt(1)?.data, data);
  });
});
