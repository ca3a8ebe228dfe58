/**
 * The workspaces of a configuration: who calls, by which keys, how often and how urgently.
 */
import { createHash } from 'node:crypto';
import type { RateLimit } from '@shedline/types';

/** One workspace. */
export interface Workspace {
  readonly name: string;
  /** Digests of its API keys, see {@link digestOfKey}: the keys themselves stay with the control processes. */
  readonly keyDigests: readonly string[];
  /** Goes before the rank of a route; 0 is the most urgent. Undefined: the route decides. */
  readonly rank?: number;
  /** Undefined: no limit. */
  readonly limit?: RateLimit;
}

/** Stands for an API key wherever it is kept or compared, so that no key reaches an entry's memory, log or error. */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}

/** Why the workspaces cannot be in force; undefined where they can. */
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

  /** The workspace that holds a key; undefined where none does. */
  findByKey(key: string): Workspace | undefined {
    return this.byDigest.get(digestOfKey(key));
  }
}
