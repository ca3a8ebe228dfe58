/**
 * The part of the replicated log that a member holds in memory.
 */
import type { GroupConfig, LogEntry } from './messages.js';

interface ConfigAt {
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

/** Entries after a base position, with the configurations they contain. */
export class MemoryLog {
  private base: { index: number; term: number };
  private entries: LogEntry[];
  private configs: ConfigAt[];

  constructor(options: MemoryLogOptions) {
    this.base = { index: options.baseIndex, term: options.baseTerm };
    this.configs = [{ index: options.baseIndex, config: options.baseConfig }];
    this.entries = [];
    for (const entry of options.entries) this.append(entry);
  }

  /** Index before the first entry held. */
  get baseIndex(): number {
    return this.base.index;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** The configuration in force: the last one in the log, committed or not. */
  get config(): ConfigAt {
    const last = this.configs.at(-1);
    if (last === undefined) throw new Error('a log always has a configuration');
    return last;
  }

  /** The configuration in force at an index. */
  configAt(index: number): GroupConfig {
    const found = this.configs.findLast((entry) => entry.index <= index);
    return (found ?? this.config).config;
  }

  /** Term of an index, or undefined where the log does not reach. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** The entry at an index. */
  entryAt(index: number): LogEntry | undefined {
    if (index <= this.base.index) return undefined;
    return this.entries[index - this.base.index - 1];
  }

  /** Entries from `fromIndex` to `toIndex` inclusive, up to about `maxBytes`. */
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

  /** Adds an entry behind the last one. */
  append(entry: LogEntry): void {
    if (entry.index !== this.lastIndex + 1) {
      throw new Error(`append: entry ${entry.index} does not follow ${this.lastIndex}`);
    }
    this.entries.push(entry);
    if (entry.config !== undefined) this.configs.push({ index: entry.index, config: entry.config });
  }

  /** Removes the entries from `index` on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.base.index - 1);
    this.configs = this.configs.filter((entry, position) => position === 0 || entry.index < index);
  }

  /** Forgets the entries up to `index`. */
  compactTo(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.base.index) return;
    this.entries.splice(0, index - this.base.index);
    this.base = { index, term };
    const config = this.configAt(index);
    this.configs = [{ index, config }, ...this.configs.filter((entry) => entry.index > index)];
  }

  /** Starts again behind a snapshot. */
  reset(index: number, term: number, config: GroupConfig): void {
    this.base = { index, term };
    this.entries = [];
    this.configs = [{ index, config }];
  }
}
