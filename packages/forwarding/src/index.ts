/**
 * Forwarding of requests to endpoints: queueing, retry decisions, sends, and forwarding of
 * responses.
 */
export * from './content-guard.js';
export type { EndVerdict } from './end-verifier.js';
export * from './endpoint-sender.js';
export * from './endpoint-queue.js';
export * from './event-framer.js';
export { loggedParts } from './forward-log.js';
export * from './forward-task.js';
export * from './forwarder.js';
export { isBroken, partKeysOf } from './guarded-content.js';
export * from './listening-probe.js';
export * from './protocol.js';
export * from './request-content.js';
export * from './request-plan.js';
