/**
 * Authentication by bearer tokens, which are stored as hashes and compared in constant time.
 */
import { timingSafeEqual } from 'node:crypto';
import { ShedlineError } from '@shedline/errors';
import type { TokenSettings } from '@shedline/config';
import { sha256Hex } from '@shedline/types';

/** Role that a token grants. */
export type AuthRole = TokenSettings['role'];

/** Roles and workspace of the sender of a request. */
export interface Identity {
  readonly roles: readonly AuthRole[];
  /** Workspace of the `caller` role; undefined if the sender has no such role. */
  readonly workspace: string | undefined;
}

/** Identifies the senders of requests. */
export class Authenticator {
  private readonly tokens: readonly TokenSettings[];

  constructor(tokens: readonly TokenSettings[]) {
    this.tokens = tokens;
  }

  /** Returns the sender named by the Authorization header; throws if it lacks the role. */
  requireRole(header: string | undefined, role: AuthRole): Identity {
    const identity = this.identify(header);
    if (identity === undefined) {
      const message = 'send a valid token as Authorization: Bearer TOKEN';
      throw new ShedlineError({
        type: 'unauthorized',
        message,
        step: 'authenticate',
        peer: 'caller',
      });
    }
    if (!identity.roles.includes(role)) {
      const message = `this token has no ${role} role`;
      throw new ShedlineError({ type: 'unauthorized', message, step: 'authorize', peer: 'caller' });
    }
    return identity;
  }

  /** Returns the workspace of the caller; throws if the sender is not a caller. */
  requireCaller(header: string | undefined): string {
    const { workspace } = this.requireRole(header, 'caller');
    if (workspace !== undefined) return workspace;
    const message = 'this token belongs to no workspace';
    throw new ShedlineError({ type: 'unauthorized', message, step: 'authorize', peer: 'caller' });
  }

  private identify(header: string | undefined): Identity | undefined {
    const token = /^Bearer (\S+)$/i.exec(header ?? '')?.[1];
    if (token === undefined) return undefined;
    const given = Buffer.from(sha256Hex(token));
    // Compares every stored token, so that the time taken does not reveal which one matches.
    const matching = this.tokens.filter((known) =>
      timingSafeEqual(Buffer.from(known.tokenSha256), given),
    );
    if (matching.length === 0) return undefined;
    const workspace = matching.find((known) => known.role === 'caller')?.workspace;
    return { roles: matching.map((known) => known.role), workspace };
  }
}
