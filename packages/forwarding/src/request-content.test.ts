import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { contentKeyOf } from './request-content.js';
import type { RequestContent } from './request-content.js';

const ASKED: RequestContent = {
  method: 'POST',
  path: '/a/b?c=d',
  body: Buffer.from('question'),
  prompt: 'aa:10,bb:20',
};

describe('content of a request', () => {
  test(
    title('is the same whatever its headers say, and another one for each byte of what is asked'),
    (t) => {
      const key = contentKeyOf('h', ASKED);
      t.is(contentKeyOf('h', { ...ASKED, prompt: 'aa:10,cc:20' }), key);
      const others: [string, RequestContent][] = [
        ['g', ASKED],
        ['h', { ...ASKED, method: 'GET' }],
        ['h', { ...ASKED, path: '/a/b?c=e' }],
        ['h', { ...ASKED, body: Buffer.from('questiom') }],
        ['h', { ...ASKED, body: Buffer.alloc(0) }],
      ];
      for (const [host, content] of others) t.not(contentKeyOf(host, content), key);
    },
  );

  test(title('is its prompt where it has no body'), (t) => {
    const body = Buffer.alloc(0);
    const key = contentKeyOf('h', { ...ASKED, body });
    t.not(contentKeyOf('h', { ...ASKED, body, prompt: 'aa:10,cc:20' }), key);
  });
});
