/**
 * Compact table of the items of one job: the state and the location of the result, in a few bytes
 * per item.
 */
import { ITEM_STATES } from '@shedline/types';
import type { ItemState } from '@shedline/types';

const INITIAL_CAPACITY = 64;

/** Serialized form of an {@link ItemTable} in a snapshot. */
export interface ItemTableData {
  readonly states: Uint8Array;
  readonly resultOffsets: Uint8Array;
}

/** States and result locations of the items of one job. */
export class ItemTable {
  private size = 0;
  private states = new Uint8Array(INITIAL_CAPACITY);
  private resultOffsets = new Uint32Array(INITIAL_CAPACITY);
  private readonly countByState = new Array<number>(ITEM_STATES.length).fill(0);

  /** Number of items. */
  get length(): number {
    return this.size;
  }

  /** Memory used by the items, in bytes. */
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

  /** Returns the state of an item. */
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

  /** Returns the number of items in a state. */
  count(state: ItemState): number {
    return this.countByState[ITEM_STATES.indexOf(state)] ?? 0;
  }

  /** Location of the result of an item, in alignment units plus one; 0 if there is no result. */
  resultUnit(index: number): number {
    return this.resultOffsets[index] ?? 0;
  }

  /** Sets the location of the result of an item, in alignment units plus one. */
  setResultUnit(index: number, unit: number): void {
    this.resultOffsets[index] = unit;
  }

  /** Releases spare capacity; called once no more items are added. */
  trim(): void {
    this.states = this.states.slice(0, this.size);
    this.resultOffsets = this.resultOffsets.slice(0, this.size);
  }

  /** Returns the serialized form for a snapshot. */
  toData(): ItemTableData {
    const offsets = this.resultOffsets.slice(0, this.size);
    return {
      states: this.states.slice(0, this.size),
      resultOffsets: new Uint8Array(offsets.buffer, offsets.byteOffset, offsets.byteLength),
    };
  }

  /** Rebuilds a table from its serialized form. */
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
