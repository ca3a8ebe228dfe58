/**
 * Exit codes of the `shedline` command; documented in docs/command-line.md.
 */
import type { ShedlineError } from '@shedline/errors';

/** The command succeeded. */
export const EXIT_OK = 0;
/** A failure that may be transient: a connection error, an overload, a timeout. */
export const EXIT_FAILED = 1;
/** The command line, the settings or the input are invalid. */
export const EXIT_USAGE = 2;
/** An edit conflicts with a newer one, or an idempotency key was used for another request. */
export const EXIT_CONFLICT = 3;
/** The requested object does not exist, or the token gives no access to it. */
export const EXIT_NOT_FOUND = 4;
/** `table diff` found a difference. */
export const EXIT_DIFFERS = 5;

/** Returns the exit code for an error. */
export function exitCodeOf(error: ShedlineError): number {
  switch (error.type) {
    case 'invalid_request':
    case 'too_large':
      return EXIT_USAGE;
    case 'conflict':
      return EXIT_CONFLICT;
    case 'not_found':
    case 'unauthorized':
      return EXIT_NOT_FOUND;
    default:
      return EXIT_FAILED;
  }
}
