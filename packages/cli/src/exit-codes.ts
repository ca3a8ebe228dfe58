/**
 * Exit codes of the command; documented in docs/command-line.md.
 */
import type { ShedlineError } from '@shedline/errors';

/** All went well. */
export const EXIT_OK = 0;
/** Something failed that may pass: a connection, an overload, a time-out. */
export const EXIT_FAILED = 1;
/** The command line, the settings or the input are wrong. */
export const EXIT_USAGE = 2;
/** An edit lost against another, or a key stands for something else. */
export const EXIT_CONFLICT = 3;
/** There is no such thing, or the token may not see it. */
export const EXIT_NOT_FOUND = 4;
/** A difference was found by `table diff`. */
export const EXIT_DIFFERS = 5;

/** The exit code for an error. */
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
