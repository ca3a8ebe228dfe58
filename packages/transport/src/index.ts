/**
 * Messages between the instances of shedline: `ws` connections that carry `msgpackr` frames.
 */
export * from './link.js';
export * from './peer-client.js';
export * from './peer-server.js';
export * from './peer-connections.js';
export { NEWS_SILENCE_NOTICED_MS } from './link-silence.js';
export type { LinkUse } from './link-silence.js';
