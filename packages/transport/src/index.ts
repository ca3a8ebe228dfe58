/**
 * Messages between the instances of shedline: `ws` connections that carry `msgpackr` frames.
 */
export * from './link.js';
export * from './peer-client.js';
export * from './peer-server.js';
export * from './peer-book.js';
export { LINK_SILENCE_NOTICED_MS } from './link-silence.js';
