#!/usr/bin/env node
/**
 * Starts the command line. Daemons go on running after their command has begun; one that could
 * not begin ends, whatever it had opened by then.
 */
import { hideBin } from 'yargs/helpers';
import { cli } from './cli.js';
import { EXIT_OK } from './exit-codes.js';

// A reader such as `head` may leave before all is printed: that is no failure.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit(EXIT_OK);
  throw error;
});

const code = await cli(hideBin(process.argv));
if (code !== EXIT_OK) process.exit(code);
