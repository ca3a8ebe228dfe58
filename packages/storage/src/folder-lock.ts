/**
 * Keeps a second process out of a data folder. The lock is a socket in the abstract name space
 * of Linux: the kernel frees it with its process, so a lost process leaves no stale lock.
 */
import { createHash } from 'node:crypto';
import { realpath } from 'node:fs/promises';
import { createServer } from 'node:net';
import { ShedlineError } from '@shedline/errors';

/** Gives a lock free again. */
export type ReleaseLock = () => Promise<void>;

/** Takes the lock of a folder; throws where another process or part of this one holds it. */
export async function lockFolder(folder: string): Promise<ReleaseLock> {
  if (process.platform !== 'linux') return () => Promise.resolve();
  const name = createHash('sha256')
    .update(await realpath(folder))
    .digest('hex');
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      reject(lockError(folder, error));
    });
    server.listen({ path: `\0shedline-${name}` }, resolve);
  });
  server.unref();
  return () =>
    new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
}

function lockError(folder: string, cause: Error): ShedlineError {
  return new ShedlineError({
    type: 'unavailable',
    message: `the data folder ${folder} is in use by another process; stop that one first`,
    step: 'lock data folder',
    peer: folder,
    cause,
  });
}
