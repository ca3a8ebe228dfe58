/**
 * The in-memory part of the replicated log: the entries after the last compaction.
 */
import type { GroupConfig, LogEntry } from './messages.js';

interface ConfigAtIndex {
  readonly index: number;
  readonly config: GroupConfig;
}

/** Options of {@link MemoryLog}. */
export interface MemoryLogOptions {
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly baseConfig: GroupConfig;
  readonly entries: readonly LogEntry[];
}

/**
 * Returns the entry with its data in a buffer of its own. Data that was decoded from a message, or
 * encoded into a shared buffer, is a view of up to megabytes, which would stay in memory until the
 * entry is compacted.
 */
function withOwnBuffer(entry: LogEntry): LogEntry {
  const { data } = entry;
  return data.byteLength === data.buffer.byteLength
    ? entry
    : { ...entry, data: new Uint8Array(data) };
}

/** Log entries after a base position, with the configurations that they contain. */
export class MemoryLog {
  private base: { index: number; term: number };
  private entries: LogEntry[];
  private configs: ConfigAtIndex[];

  constructor(options: MemoryLogOptions) {
    this.base = { index: options.baseIndex, term: options.baseTerm };
    this.configs = [{ index: options.baseIndex, config: options.baseConfig }];
    this.entries = [];
    for (const entry of options.entries) this.append(entry);
  }

  /** Index before the first entry in memory. */
  get baseIndex(): number {
    return this.base.index;
  }

  /** Index of the last entry, or the base index if the log is empty. */
  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** Latest configuration in the log, committed or not; it is the one in effect. */
  get config(): ConfigAtIndex {
    const last = this.configs.at(-1);
    if (last === undefined) throw new Error('the log has no configuration');
    return last;
  }

  /** Returns the configuration in effect at an index. */
  configAt(index: number): GroupConfig {
    const found = this.configs.findLast((entry) => entry.index <= index);
    return (found ?? this.config).config;
  }

  /** Returns the term of an index, or undefined if the index is not in memory. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** Returns the entry at an index, or undefined if it is not in memory. */
  entryAt(index: number): LogEntry | undefined {
    if (index <= this.base.index) return undefined;
    return this.entries[index - this.base.index - 1];
  }

  /** Returns entries `fromIndex` to `toIndex` inclusive, at least one and up to `maxBytes`. */
  slice(fromIndex: number, toIndex: number, maxBytes = Infinity): LogEntry[] {
    const result: LogEntry[] = [];
    let bytes = 0;
    for (let index = fromIndex; index <= toIndex; index += 1) {
      const entry = this.entryAt(index);
      if (entry === undefined) break;
      bytes += entry.data.length;
      if (result.length > 0 && bytes > maxBytes) break;
      result.push(entry);
    }
    return result;
  }

  /** Appends an entry; throws unless its index follows the last index. */
  append(entry: LogEntry): void {
    if (entry.index !== this.lastIndex + 1) {
      throw new Error(`cannot append entry ${entry.index}: the last index is ${this.lastIndex}`);
    }
    this.entries.push(withOwnBuffer(entry));
    if (entry.config !== undefined) this.configs.push({ index: entry.index, config: entry.config });
  }

  /** Removes the entries from `index` on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.base.index - 1);
    this.configs = this.configs.filter((entry, position) => position === 0 || entry.index < index);
  }

  /** Discards the entries up to and including `index`. */
  compactTo(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.base.index) return;
    this.entries.splice(0, index - this.base.index);
    this.base = { index, term };
    const config = this.configAt(index);
    this.configs = [{ index, config }, ...this.configs.filter((entry) => entry.index > index)];
  }

  /** Replaces the whole log by the position of an installed snapshot. */
  reset(index: number, term: number, config: GroupConfig): void {
    this.base = { index, term };
    this.entries = [];
    this.configs = [{ index, config }];
  }
}
