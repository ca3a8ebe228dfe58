/**
 * Messages between shedline processes: `ws` connections that carry `msgpackr` frames.
 */
export * from './link.js';
export * from './peer-client.js';
export * from './peer-server.js';
export * from './peer-connections.js';
export * from './reply-timeout.js';
export { FAST_DETECTION_MAX_MS } from './link-silence.js';
export type { SilenceDetection } from './link-silence.js';
