#!/usr/bin/env node
/**
 * Entry point of the `shedline` executable. Daemon commands keep the process running after `cli`
 * returns; if a command fails, the process exits even if it has open handles.
 */
import { hideBin } from 'yargs/helpers';
import { cli } from './cli.js';
import { EXIT_OK } from './exit-codes.js';

// A reader such as `head` may close the pipe before all output is written: this is not an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit(EXIT_OK);
  throw error;
});

const code = await cli(hideBin(process.argv));
if (code !== EXIT_OK) process.exit(code);
