import test from 'ava';
import { partKeyOf } from '@shedline/quarantine';
import { describe, title } from '@shedline/test-utils';
import type { BrokenSend, ContentGuard, Quarantine } from './content-guard.js';
import type { SendResult } from './endpoint-sender.js';
import { GuardedContent } from './guarded-content.js';

const COMPLETE: SendResult = { kind: 'complete' };
const BROKEN: SendResult = { kind: 'ended', outcome: { kind: 'brokeOff', reason: 'reset' } };
const NOT_SENT: SendResult = { kind: 'ended', outcome: { kind: 'notSent', reason: 'refused' } };
const FAILURE: SendResult = {
  kind: 'failure',
  body: Buffer.alloc(0),
  head: {
    status: 500,
    headers: [],
    requestId: 'r',
    isNotExecuted: false,
    isSigned: true,
    isEventStream: false,
    endsWithConnection: false,
  },
};

const keyOf = (partId: string, softwareVersion: string): string =>
  partKeyOf({ partId, service: 's', softwareVersion });

/** A guard that holds back the features that it is given, and permits every trial. */
class FakeGuard implements ContentGuard {
  readonly isIdle = false;
  readonly broken: BrokenSend[] = [];
  readonly executed: string[] = [];
  private readonly held: readonly string[];

  constructor(held: readonly string[] = []) {
    this.held = held;
  }

  admit(): Promise<{ readonly isAdmitted: true }> {
    return Promise.resolve({ isAdmitted: true });
  }

  quarantineOf(featureKeys: readonly string[]): Quarantine | undefined {
    const featureKey = featureKeys.find((key) => this.held.includes(key));
    if (featureKey === undefined) return undefined;
    return { featureKey, forMs: 1000, crashes: 3, isConfirmed: true };
  }

  crashCountOf(): number {
    return 0;
  }

  noteBrokenSend(send: BrokenSend): void {
    this.broken.push(send);
  }

  noteExecuted(featureKeys: readonly string[]): void {
    this.executed.push(...featureKeys);
  }
}

function contentOf(guard: ContentGuard): GuardedContent {
  const request = {
    requestId: 'r',
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.from('b'),
  };
  return new GuardedContent({ guard, host: 'h', request, service: 's', sharedParts: ['p', 'q'] });
}

/** Sends a request to an endpoint of version v1. */
function sendOnce(content: GuardedContent, result: SendResult, hasBegun = true): void {
  const endpoint = { endpointId: 'e', address: 'a:1', softwareVersion: 'v1', load: 0 };
  content.sendEnded(endpoint, result, { ...content.knowledgeAt('v1'), hasBegun });
}

describe('GuardedContent', () => {
  test(title('a trial permits one send, also if the request could be sent again'), async (t) => {
    const content = contentOf(new FakeGuard([keyOf('p', 'v1')]));
    t.deepEqual(await content.admit(['v1']), { isAdmitted: true, softwareVersion: 'v1' });
    t.is(content.quarantineAt('v1'), undefined);
    sendOnce(content, NOT_SENT);
    t.is(content.quarantineAt('v1'), undefined, 'the request has not reached an endpoint');
    sendOnce(content, BROKEN);
    t.is(content.quarantineAt('v1')?.featureKey, keyOf('p', 'v1'));
  });

  test(title('is served by the software versions that do not hold it back'), async (t) => {
    const content = contentOf(new FakeGuard([keyOf('p', 'v1')]));
    const admission = await content.admit(['v1', 'v2', 'v3']);
    t.deepEqual(admission, { isAdmitted: true, softwareVersion: 'v2' });
    t.is(content.quarantineAt('v2'), undefined);
    t.not(content.quarantineAt('v1'), undefined, 'no trial was permitted');
  });

  test(title('only a whole response is evidence that its features do not crash endpoints'), (t) => {
    const guard = new FakeGuard();
    const content = contentOf(guard);
    sendOnce(content, FAILURE);
    sendOnce(content, COMPLETE, false);
    t.deepEqual(guard.executed, []);
    sendOnce(content, COMPLETE);
    t.deepEqual(guard.executed, [content.key, keyOf('p', 'v1'), keyOf('q', 'v1')]);
  });

  test(title('a broken send names all features, and counts those before it'), (t) => {
    const guard = new FakeGuard();
    const content = contentOf(guard);
    sendOnce(content, BROKEN);
    sendOnce(content, BROKEN, false);
    const [first, second] = guard.broken;
    t.deepEqual(
      first?.features.map(({ knownCrashes }) => knownCrashes),
      [0, 0, 0],
    );
    t.like(second, { endpointId: 'e', requestId: 'r', hasBegun: false });
    t.deepEqual(second?.features, [
      { featureKey: content.key, knownCrashes: 1 },
      { featureKey: keyOf('p', 'v1'), knownCrashes: 1 },
      { featureKey: keyOf('q', 'v1'), knownCrashes: 1 },
    ]);
  });
});
