/**
 * Runs one member of one group: carries out what the consensus core asks for.
 */
import { pack, unpack } from 'msgpackr';
import { instanceOf } from '@shedline/consensus';
import type {
  Consensus,
  ConsensusMessage,
  GroupConfig,
  LogEntry,
  Ready,
} from '@shedline/consensus';
import type { Query } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import type { ItemFiles, Storage, StoredSnapshot } from '@shedline/storage';
import type { GroupStateMachine, StateFile } from './state-machine.js';

/** Entries kept in memory behind a snapshot, for followers that are a little behind. */
const TRAILING_ENTRIES = 1000;
const MAX_ENTRIES_BEFORE_SNAPSHOT = 50_000;

/** Options of {@link GroupHost}. */
export interface GroupHostOptions {
  readonly group: number;
  readonly consensus: Consensus;
  readonly machine: GroupStateMachine;
  readonly storage: Storage;
  readonly itemFiles: ItemFiles;
  readonly logger: Logger;
  /** Index up to which the machine already stands. */
  readonly appliedIndex: number;
  readonly snapshotAfterBytes: number;
  readonly send: (group: number, message: ConsensusMessage) => void;
  readonly offerSnapshot: (group: number, memberId: string) => void;
  readonly onRoleChange: (host: GroupHost, leading: boolean) => void;
}

interface WaitingProposal {
  readonly term: number;
  readonly resolve: (answer: unknown) => void;
  readonly reject: (error: ShedlineError) => void;
}

interface WaitingRead {
  readonly resolve: () => void;
  readonly reject: (error: ShedlineError) => void;
}

/** What another instance copies to catch up. */
export interface SnapshotManifest {
  readonly snapshot: StoredSnapshot;
  readonly files: readonly StateFile[];
}

/** One member of one group with its state machine. */
export class GroupHost {
  readonly group: number;
  readonly consensus: Consensus;
  readonly machine: GroupStateMachine;
  private readonly options: GroupHostOptions;
  private applied: number;
  private pumping = false;
  private snapshotting = false;
  private closed = false;
  private leading = false;
  private bytesSinceSnapshot = 0;
  private snapshotIndex: number;
  private nextReadId = 1;
  private readonly proposals = new Map<number, WaitingProposal>();
  private readonly reads = new Map<number, WaitingRead>();
  private readsAtIndex: { readonly index: number; readonly readId: number }[] = [];

  constructor(options: GroupHostOptions) {
    this.options = options;
    this.group = options.group;
    this.consensus = options.consensus;
    this.machine = options.machine;
    this.applied = options.appliedIndex;
    this.snapshotIndex = options.appliedIndex;
  }

  /** Index up to which the machine stands. */
  get appliedIndex(): number {
    return this.applied;
  }

  /** Whether this member leads and says so to its owner. */
  get isLeading(): boolean {
    return this.leading;
  }

  /** Lets time pass. */
  tick(nowMs: number): void {
    this.consensus.tick(nowMs);
    this.pump();
  }

  /** Takes a message from another member. */
  receive(message: ConsensusMessage, nowMs: number): void {
    this.consensus.receive(message, nowMs);
    this.pump();
  }

  /** Proposes a command; resolves with its answer once it is committed and applied. */
  propose(command: unknown): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const outcome = this.consensus.propose(pack(command));
      if (!outcome.accepted) {
        reject(this.notLeading('propose', outcome.leaderId));
        return;
      }
      this.proposals.set(outcome.index, { term: outcome.term, resolve, reject });
      this.pump();
    });
  }

  /** Answers a query as of a moment after it was asked. */
  async query(query: Query): Promise<unknown> {
    await this.confirmLeadership();
    return this.machine.query?.(query, Date.now());
  }

  /** Resolves once a quorum has confirmed this leader and its state is current. */
  confirmLeadership(): Promise<void> {
    return new Promise((resolve, reject) => {
      const readId = this.nextReadId;
      this.nextReadId += 1;
      if (!this.consensus.requestRead(readId)) {
        reject(this.notLeading('read', this.consensus.leaderId));
        return;
      }
      this.reads.set(readId, { resolve, reject });
      this.pump();
    });
  }

  /** Proposes a membership change. */
  changeMembers(config: GroupConfig): boolean {
    const accepted = this.consensus.proposeConfig(config);
    this.pump();
    return accepted;
  }

  /** Hands the leadership over, for a planned stop or to spread leaders. */
  transferLeadership(nowMs: number): void {
    this.consensus.transferLeadership(nowMs);
    this.pump();
  }

  /** What a member that is far behind has to copy. Makes a snapshot if there is none. */
  async manifest(): Promise<SnapshotManifest> {
    let snapshot = await this.options.storage.readSnapshot(this.group);
    const usable = snapshot !== undefined && snapshot.position.index >= this.firstHeldIndex();
    if (!usable) {
      await this.takeSnapshot();
      snapshot = await this.options.storage.readSnapshot(this.group);
    }
    if (snapshot === undefined) throw this.notLeading('snapshot', this.consensus.leaderId);
    return { snapshot, files: this.machine.fileSizes() };
  }

  /** Takes over a copied snapshot whose files are synced. */
  async install(manifest: SnapshotManifest, leaderId: string): Promise<boolean> {
    const { position, state } = manifest.snapshot;
    if (position.index <= this.applied) return false;
    await this.options.storage.saveSnapshot(this.group, position, state);
    if (position.index <= this.applied) return false;
    if (!this.consensus.installSnapshot(position, leaderId)) return false;
    this.machine.restore(state);
    this.applied = position.index;
    this.snapshotIndex = position.index;
    this.pump();
    return true;
  }

  /** Stores the state, so that the log before it can go. */
  async takeSnapshot(): Promise<void> {
    if (this.snapshotting || this.applied <= this.snapshotIndex) return;
    this.snapshotting = true;
    const index = this.applied;
    const term = this.consensus.termAt(index);
    if (term !== undefined) {
      const position = { index, term, config: this.consensus.configAt(index) };
      const state = this.machine.snapshot();
      this.bytesSinceSnapshot = 0;
      await this.saveSnapshot(position, state);
    }
    this.snapshotting = false;
  }

  /** Ends; what waits is refused. */
  close(): void {
    this.closed = true;
    this.rejectAll('the instance stops');
  }

  private async saveSnapshot(
    position: StoredSnapshot['position'],
    state: Uint8Array,
  ): Promise<void> {
    try {
      await this.options.itemFiles.sync();
      await this.options.storage.saveSnapshot(this.group, position, state);
      this.snapshotIndex = position.index;
      this.consensus.compactTo(position.index - TRAILING_ENTRIES);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.error('snapshot failed', { group: this.group, step: 'snapshot', reason });
    }
  }

  private firstHeldIndex(): number {
    return this.applied - TRAILING_ENTRIES;
  }

  private pump(): void {
    if (this.pumping || this.closed) return;
    this.pumping = true;
    void this.pumpLoop();
  }

  private async pumpLoop(): Promise<void> {
    for (;;) {
      const ready = this.consensus.takeReady();
      this.noteRole();
      if (isEmpty(ready)) {
        // Cleared in the same turn: an event that comes now must start a loop of its own.
        this.pumping = false;
        return;
      }
      for (const message of ready.earlyMessages) this.options.send(this.group, message);
      for (const memberId of ready.snapshotsTo) this.options.offerSnapshot(this.group, memberId);
      this.applyAll(ready.committed);
      this.takeReads(ready);
      await this.persist(ready);
      if (this.closed) return;
      for (const message of ready.messages) this.options.send(this.group, message);
      this.consensus.persisted(ready);
      this.snapshotIfDue();
    }
  }

  private async persist(ready: Ready): Promise<void> {
    if (ready.hardState === undefined && ready.entries.length === 0) return;
    const { hardState, entries } = ready;
    await this.options.storage.append({ group: this.group, hardState, entries });
  }

  private noteRole(): void {
    const leading = this.consensus.role === 'leader';
    if (leading === this.leading) return;
    this.leading = leading;
    if (!leading) this.rejectAll('the leadership moved');
    this.options.onRoleChange(this, leading);
  }

  private applyAll(entries: readonly LogEntry[]): void {
    for (const entry of entries) this.applyOne(entry);
    const due = this.readsAtIndex.filter((read) => read.index <= this.applied);
    this.readsAtIndex = this.readsAtIndex.filter((read) => read.index > this.applied);
    for (const read of due) this.releaseRead(read.readId);
  }

  private applyOne(entry: LogEntry): void {
    this.applied = entry.index;
    this.bytesSinceSnapshot += entry.data.length;
    const answer = entry.kind === 'command' ? this.applyCommand(entry) : undefined;
    const waiting = this.proposals.get(entry.index);
    if (waiting === undefined) return;
    this.proposals.delete(entry.index);
    if (waiting.term === entry.term) waiting.resolve(answer);
    else waiting.reject(this.outcomeUnknown('another leader took its place'));
  }

  private applyCommand(entry: LogEntry): unknown {
    try {
      return this.machine.apply(unpack(entry.data), entry.index);
    } catch (error) {
      // A damaged file is this replica's own trouble: going on would let it differ.
      if (error instanceof ShedlineError) throw error;
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.error('command refused', { group: this.group, step: 'apply', message });
      return { ok: false, reason: 'invalid', message };
    }
  }

  private takeReads(ready: Ready): void {
    for (const read of ready.reads) {
      if (read.index <= this.applied) this.releaseRead(read.readId);
      else this.readsAtIndex.push(read);
    }
  }

  private releaseRead(readId: number): void {
    this.reads.get(readId)?.resolve();
    this.reads.delete(readId);
  }

  private snapshotIfDue(): void {
    const many = this.applied - this.snapshotIndex >= MAX_ENTRIES_BEFORE_SNAPSHOT;
    if (many || this.bytesSinceSnapshot >= this.options.snapshotAfterBytes) {
      void this.takeSnapshot();
    }
  }

  private rejectAll(reason: string): void {
    for (const proposal of this.proposals.values()) proposal.reject(this.outcomeUnknown(reason));
    this.proposals.clear();
    for (const read of this.reads.values()) {
      read.reject(this.notLeading('read', this.consensus.leaderId));
    }
    this.reads.clear();
    this.readsAtIndex = [];
  }

  private outcomeUnknown(reason: string): ShedlineError {
    return new ShedlineError({
      type: 'unavailable',
      message: `it is not known whether the command was accepted: ${reason}`,
      step: 'propose',
      peer: `group ${this.group}`,
      ran: 'unknown',
      details: { leader: instanceOf(this.consensus.leaderId) },
    });
  }

  private notLeading(step: string, leaderId: string): ShedlineError {
    return new ShedlineError({
      type: 'unavailable',
      message: `this instance does not lead group ${this.group}`,
      step,
      peer: `group ${this.group}`,
      ran: 'no',
      details: { leader: instanceOf(leaderId) },
    });
  }
}

function isEmpty(ready: Ready): boolean {
  return (
    ready.hardState === undefined &&
    ready.entries.length === 0 &&
    ready.earlyMessages.length === 0 &&
    ready.messages.length === 0 &&
    ready.committed.length === 0 &&
    ready.reads.length === 0 &&
    ready.snapshotsTo.length === 0
  );
}
