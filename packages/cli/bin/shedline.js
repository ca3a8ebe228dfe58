#!/usr/bin/env node
// Committed, so that the command is linked by an install that comes before the build.
import '../dist/bin.js';
