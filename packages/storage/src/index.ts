/**
 * Durable storage of group members: write-ahead log, snapshots and item files.
 */
export * from './file-system.js';
export * from './folder-lock.js';
export * from './item-files.js';
export * from './recovered-group.js';
export * from './storage.js';
export type { GroupBatch } from './wal-record.js';
