/**
 * Client library for callers.
 */
export { ShedlineClient } from './client.js';
export type { ChatAnswer } from './chat-stream.js';
export type { CallOptions, ChatOptions, JobItem, ShedlineClientOptions } from './client.js';
export { EntryAddresses } from './entry-addresses.js';
