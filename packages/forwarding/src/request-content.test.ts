import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { contentKeyOf } from './request-content.js';
import type { RequestContent } from './request-content.js';

const CONTENT: RequestContent = {
  method: 'POST',
  path: '/a/b?c=d',
  body: Buffer.from('question'),
  prompt: 'aa:10,bb:20',
};

describe('contentKeyOf', () => {
  test(
    title('does not depend on prompt headers if there is a body, and differs with any other part'),
    (t) => {
      const key = contentKeyOf('h', CONTENT);
      t.is(contentKeyOf('h', { ...CONTENT, prompt: 'aa:10,cc:20' }), key);
      const others: [string, RequestContent][] = [
        ['g', CONTENT],
        ['h', { ...CONTENT, method: 'GET' }],
        ['h', { ...CONTENT, path: '/a/b?c=e' }],
        ['h', { ...CONTENT, body: Buffer.from('questiom') }],
        ['h', { ...CONTENT, body: Buffer.alloc(0) }],
      ];
      for (const [host, content] of others) t.not(contentKeyOf(host, content), key);
    },
  );

  test(title('depends on the prompt headers if there is no body'), (t) => {
    const body = Buffer.alloc(0);
    const key = contentKeyOf('h', { ...CONTENT, body });
    t.not(contentKeyOf('h', { ...CONTENT, body, prompt: 'aa:10,cc:20' }), key);
  });
});
