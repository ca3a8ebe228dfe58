/**
 * Keeps a second process out of a data folder. The lock is a socket in the abstract name space
 * of Linux: the kernel frees it with its process, so a lost process leaves no stale lock.
 */
import { createHash } from 'node:crypto';
import { realpath } from 'node:fs/promises';
import { createServer } from 'node:net';
import { constants } from 'node:os';
import { ShedlineError } from '@shedline/errors';

/** Gives a lock free again. */
export type ReleaseLock = () => Promise<void>;

/**
 * Takes the lock of a folder; throws where another process or part of this one holds it. Where
 * the system has no such sockets there is no lock: `onUnsupported` is told, and the caller has
 * to keep a second process out by other means.
 */
export async function lockFolder(
  folder: string,
  onUnsupported: () => void = () => undefined,
): Promise<ReleaseLock> {
  const unlocked: ReleaseLock = () => Promise.resolve();
  if (process.platform !== 'linux') return unlocked;
  const name = createHash('sha256')
    .update(await realpath(folder))
    .digest('hex');
  const server = createServer((socket) => socket.destroy());
  const isLocked = await new Promise<boolean>((resolve, reject) => {
    server.once('error', (error) => {
      if (isUnsupported(error)) resolve(false);
      else reject(lockError(folder, error));
    });
    server.listen({ path: `\0shedline-${name}` }, () => {
      resolve(true);
    });
  });
  if (!isLocked) {
    onUnsupported();
    return unlocked;
  }
  server.unref();
  return () =>
    new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
}

/** Node names some error numbers only by number. */
function isUnsupported(error: NodeJS.ErrnoException): boolean {
  return error.code === 'EAFNOSUPPORT' || error.errno === -constants.errno.EAFNOSUPPORT;
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
