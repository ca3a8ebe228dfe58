/**
 * The caller library.
 */
export { ShedlineClient } from './client.js';
export type {
  CallOptions,
  ChatAnswer,
  ChatOptions,
  JobItem,
  ShedlineClientOptions,
} from './client.js';
export { AddressBook } from './address-book.js';
