/**
 * Session tokens. They are signed with the secret that all instances share, so that every entry
 * accepts them.
 */
import { createHmac, randomUUID, timingSafeEqual } from 'node:crypto';
import { ShedlineError } from '@shedline/errors';

/** An open session. */
export interface Session {
  readonly sessionId: string;
  readonly workspace: string;
  readonly service: string;
}

/** Creates the token of a new session. */
export function openSession(secret: string, workspace: string, service: string): string {
  const session: Session = { sessionId: randomUUID(), workspace, service };
  const body = Buffer.from(JSON.stringify(session)).toString('base64url');
  return `${body}.${signatureOf(secret, body)}`;
}

/** Returns the session of a token; throws if the token is from another fleet or workspace. */
export function readSession(secret: string, token: string, workspace: string): Session {
  const [body = '', signature = ''] = token.split('.');
  const expected = Buffer.from(signatureOf(secret, body));
  const given = Buffer.from(signature);
  const isSigned = given.length === expected.length && timingSafeEqual(given, expected);
  const session = isSigned ? parseSession(body) : undefined;
  if (session?.workspace === workspace) return session;
  throw new ShedlineError({
    type: 'not_found',
    message: 'session not found; open a session with POST /v1/sessions',
    step: 'read session',
    peer: 'caller',
  });
}

function parseSession(body: string): Session {
  return JSON.parse(Buffer.from(body, 'base64url').toString()) as Session;
}

function signatureOf(secret: string, body: string): string {
  return createHmac('sha256', secret).update(`session|${body}`).digest('base64url');
}
