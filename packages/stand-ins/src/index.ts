/**
 * Stand-ins for model engines and plain services.
 */
export * from './batching.js';
export * from './generation.js';
export * from './stand-in-engine.js';
export * from './stand-in-service.js';
