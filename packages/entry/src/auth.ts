/**
 * Bearer tokens: stored hashed, compared in constant time.
 */
import { timingSafeEqual } from 'node:crypto';
import { ShedlineError } from '@shedline/errors';
import type { TokenSettings } from '@shedline/config';
import { sha256Hex } from '@shedline/types';

/** What a token may do. */
export type AuthRole = TokenSettings['role'];

/** Who sends a request. */
export interface Identity {
  readonly roles: readonly AuthRole[];
  /** Workspace of a caller. */
  readonly workspace: string | undefined;
}

/** Tells who sends a request. */
export class Authenticator {
  private readonly tokens: readonly TokenSettings[];

  constructor(tokens: readonly TokenSettings[]) {
    this.tokens = tokens;
  }

  /** The sender, by the Authorization header; throws where the role is missing. */
  require(header: string | undefined, role: AuthRole): Identity {
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

  /** The caller and its workspace. */
  requireCaller(header: string | undefined): string {
    const { workspace } = this.require(header, 'caller');
    if (workspace !== undefined) return workspace;
    const message = 'this token belongs to no workspace';
    throw new ShedlineError({ type: 'unauthorized', message, step: 'authorize', peer: 'caller' });
  }

  private identify(header: string | undefined): Identity | undefined {
    const token = /^Bearer (\S+)$/i.exec(header ?? '')?.[1];
    if (token === undefined) return undefined;
    const given = Buffer.from(sha256Hex(token));
    // Every stored token is compared, so that the time tells nothing about which one fits.
    const fitting = this.tokens.filter((known) =>
      timingSafeEqual(Buffer.from(known.tokenSha256), given),
    );
    if (fitting.length === 0) return undefined;
    const workspace = fitting.find((known) => known.role === 'caller')?.workspace;
    return { roles: fitting.map((known) => known.role), workspace };
  }
}
