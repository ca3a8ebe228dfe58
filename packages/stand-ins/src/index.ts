/**
 * Stand-in endpoints for tests and `shedline dev`: a model engine and a plain service.
 */
export * from './batching.js';
export * from './generation.js';
export * from './stand-in-engine.js';
export * from './stand-in-service.js';
