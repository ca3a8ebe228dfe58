/**
 * Client library for callers.
 */
export { ShedlineClient } from './client.js';
export type {
  CallOptions,
  ChatAnswer,
  ChatOptions,
  JobItem,
  ShedlineClientOptions,
} from './client.js';
export { EntryAddresses } from './entry-addresses.js';
