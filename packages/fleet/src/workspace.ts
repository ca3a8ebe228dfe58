/**
 * The workspaces of a configuration, with their API keys, rate limits and priorities.
 */
import { createHash } from 'node:crypto';
import type { RateLimit } from '@shedline/types';

/** A customer that owns services and calls with its own API keys. */
export interface Workspace {
  readonly name: string;
  /**
   * Digests of its API keys, see {@link digestOfKey}; the keys themselves are known only to the control
   * processes.
   */
  readonly keyDigests: readonly string[];
  /** Priority that overrides the rank of a route; 0 is the most urgent. */
  readonly rank?: number;
  /** Rate limit; unlimited if undefined. */
  readonly limit?: RateLimit;
}

/**
 * Returns the digest that replaces an API key wherever it is stored or compared, so that no key is
 * exposed in the memory, logs or errors of an entry.
 */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}

/** Returns why the workspaces are invalid; undefined if they are valid. */
export function workspaceProblem(workspaces: readonly Workspace[]): string | undefined {
  const names = new Set<string>();
  const owners = new Map<string, string>();
  for (const { name, keyDigests } of workspaces) {
    if (names.has(name)) return `workspace ${name}: another workspace has the same name`;
    names.add(name);
    for (const digest of keyDigests) {
      const owner = owners.get(digest);
      if (owner !== undefined && owner !== name) {
        return `workspace ${name}: it shares a key with the workspace ${owner}`;
      }
      owners.set(digest, name);
    }
  }
  return undefined;
}

/** The workspaces of one configuration, by key. */
export class WorkspaceTable {
  private readonly byDigest = new Map<string, Workspace>();

  constructor(workspaces: readonly Workspace[]) {
    for (const workspace of workspaces) {
      for (const digest of workspace.keyDigests) this.byDigest.set(digest, workspace);
    }
  }

  /** Returns the workspace of an API key; undefined if no workspace has it. */
  findByKey(key: string): Workspace | undefined {
    return this.byDigest.get(digestOfKey(key));
  }
}
