/**
 * Locks a data folder against use by a second process. The lock is a Linux abstract socket: the
 * kernel releases it when the process ends, so a crashed process leaves no stale lock.
 */
import { createHash } from 'node:crypto';
import { realpath } from 'node:fs/promises';
import { createServer } from 'node:net';
import { constants } from 'node:os';
import { ShedlineError } from '@shedline/errors';

/** Releases a lock. */
export type ReleaseLock = () => Promise<void>;

/**
 * Locks a folder; throws `unavailable` if it is already locked, also if by this process. Without
 * abstract sockets the folder is not locked, and other means must prevent a second process.
 * `onUnsupported` is called if a Linux system lacks them; on other systems it is not called.
 */
export async function lockFolder(
  folder: string,
  onUnsupported: () => void = () => undefined,
): Promise<ReleaseLock> {
  const releaseNothing: ReleaseLock = () => Promise.resolve();
  if (process.platform !== 'linux') return releaseNothing;
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
    return releaseNothing;
  }
  server.unref();
  return () =>
    new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
}

/** Node.js reports some errors only by number, without a code. */
function isUnsupported(error: NodeJS.ErrnoException): boolean {
  return error.code === 'EAFNOSUPPORT' || error.errno === -constants.errno.EAFNOSUPPORT;
}

function lockError(folder: string, cause: Error): ShedlineError {
  return new ShedlineError({
    type: 'unavailable',
    message: `the data folder ${folder} is in use by another process; stop that process first`,
    step: 'lock data folder',
    peer: folder,
    cause,
  });
}
