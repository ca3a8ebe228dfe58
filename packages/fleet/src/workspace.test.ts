import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { configurationProblem } from './configuration.js';
import type { Configuration, Route } from './configuration.js';
import { RouteTable } from './route-table.js';
import { digestOfKey } from './workspace.js';
import type { Workspace } from './workspace.js';

describe('access by key', () => {
  const route: Route = {
    name: 'r',
    host: 'h',
    pathPrefix: '/p/',
    kind: 'once',
    targets: [{ service: 's', weight: 1 }],
    timeLimitMs: 1000,
    targetMs: 100,
    rank: 0,
    maxAttempts: 1,
    isResumable: false,
    longestPauseMs: 0,
  };
  const base: Configuration = {
    version: 1,
    routes: [route],
    services: [{ name: 's', healthPath: '/', maxConnections: 1 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
  const workspace = (name: string, ...keys: string[]): Workspace => ({
    name,
    keyDigests: keys.map(digestOfKey),
  });

  test(
    title('a key grants access to its own workspace, and only while the configuration contains it'),
    (t) => {
      const workspaces = [workspace('a', 'k1', 'k2'), workspace('b', 'k3'), workspace('c')];
      const table = new RouteTable({ ...base, workspaces });
      const nameOf = (key?: string): string | undefined => {
        const access = table.access(route, key);
        return access.kind === 'workspace' ? access.workspace.name : undefined;
      };
      t.deepEqual([nameOf('k1'), nameOf('k2'), nameOf('k3')], ['a', 'a', 'b']);
      t.deepEqual(table.access(route, 'k4'), { kind: 'refused', reason: 'unknown key' });
      t.deepEqual(table.access(route, undefined), { kind: 'refused', reason: 'no key' });
      t.deepEqual(table.access({ ...route, isPublic: true }, 'k4'), { kind: 'anyone' });
      t.deepEqual(new RouteTable(base).access(route, undefined), { kind: 'anyone' });
      t.is(new RouteTable({ ...base, workspaces: [] }).access(route, 'k1').kind, 'refused');
    },
  );

  test(title('two workspaces may not share a key or a name; the error contains no key'), (t) => {
    const problemOf = (...workspaces: Workspace[]): string | undefined =>
      configurationProblem({ ...base, workspaces });
    t.is(problemOf(workspace('a', 'k', 'k'), workspace('b', 'l')), undefined);
    const shared = problemOf(workspace('a', 'k'), workspace('b', 'l', 'k')) ?? '';
    t.is(shared, 'workspace b: it shares a key with the workspace a');
    t.regex(problemOf(workspace('a', 'k'), workspace('a', 'l')) ?? '', /same name/);
  });
});
