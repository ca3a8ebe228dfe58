#!/usr/bin/env node
/**
 * Starts the command line. Daemons go on running after their command has begun.
 */
import { hideBin } from 'yargs/helpers';
import { cli } from './cli.js';

process.exitCode = await cli(hideBin(process.argv));
