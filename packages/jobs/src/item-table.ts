/**
 * The items of one job in a few bytes each: a state, and where the result is.
 */
import { ITEM_STATES } from '@shedline/types';
import type { ItemState } from '@shedline/types';

const INITIAL_CAPACITY = 64;

/** The plain form of an {@link ItemTable} in a snapshot. */
export interface ItemTableData {
  readonly states: Uint8Array;
  readonly resultOffsets: Uint8Array;
}

/** States and result places of the items of one job. */
export class ItemTable {
  private size = 0;
  private states = new Uint8Array(INITIAL_CAPACITY);
  private resultOffsets = new Uint32Array(INITIAL_CAPACITY);
  private readonly countByState = new Array<number>(ITEM_STATES.length).fill(0);

  /** Number of items. */
  get length(): number {
    return this.size;
  }

  /** Bytes of memory that the items take. */
  get memoryBytes(): number {
    return this.states.byteLength + this.resultOffsets.byteLength;
  }

  /** Adds pending items. */
  extend(count: number): void {
    const needed = this.size + count;
    if (needed > this.states.length) this.grow(needed);
    this.size = needed;
    this.countByState[0] = (this.countByState[0] ?? 0) + count;
  }

  /** State of an item. */
  state(index: number): ItemState {
    return ITEM_STATES[this.states[index] ?? 0] ?? 'pending';
  }

  /** Changes the state of an item. */
  setState(index: number, state: ItemState): void {
    const before = this.states[index] ?? 0;
    const after = ITEM_STATES.indexOf(state);
    this.states[index] = after;
    this.countByState[before] = (this.countByState[before] ?? 0) - 1;
    this.countByState[after] = (this.countByState[after] ?? 0) + 1;
  }

  /** Number of items in a state. */
  count(state: ItemState): number {
    return this.countByState[ITEM_STATES.indexOf(state)] ?? 0;
  }

  /** Where the result of an item is, in alignment units plus one; zero: nowhere. */
  resultUnit(index: number): number {
    return this.resultOffsets[index] ?? 0;
  }

  /** Notes where the result of an item is. */
  setResultUnit(index: number, unit: number): void {
    this.resultOffsets[index] = unit;
  }

  /** Drops the spare room that growing left, once no more items come. */
  trim(): void {
    this.states = this.states.slice(0, this.size);
    this.resultOffsets = this.resultOffsets.slice(0, this.size);
  }

  /** Plain form for a snapshot. */
  toData(): ItemTableData {
    const offsets = this.resultOffsets.slice(0, this.size);
    return {
      states: this.states.slice(0, this.size),
      resultOffsets: new Uint8Array(offsets.buffer, offsets.byteOffset, offsets.byteLength),
    };
  }

  /** Rebuilds a table from its plain form. */
  static fromData(data: ItemTableData): ItemTable {
    const table = new ItemTable();
    table.size = data.states.length;
    table.states = new Uint8Array(data.states);
    const offsets = new Uint8Array(data.resultOffsets);
    table.resultOffsets = new Uint32Array(offsets.buffer, 0, table.size);
    for (const state of table.states) {
      table.countByState[state] = (table.countByState[state] ?? 0) + 1;
    }
    return table;
  }

  private grow(needed: number): void {
    const capacity = Math.max(needed, Math.ceil(this.states.length * 1.5));
    const states = new Uint8Array(capacity);
    states.set(this.states);
    this.states = states;
    const offsets = new Uint32Array(capacity);
    offsets.set(this.resultOffsets);
    this.resultOffsets = offsets;
  }
}
