/**
 * Drives one member of one group: syncs, sends and applies what {@link Consensus} requests.
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
import { StateRebuild, isLocalFailure } from './state-rebuild.js';

/** Entries before a snapshot that stay in memory for followers that lag slightly. */
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
  /** Index of the last entry that the state machine has applied. */
  readonly appliedIndex: number;
  readonly snapshotAfterBytes: number;
  readonly send: (group: number, message: ConsensusMessage) => void;
  readonly offerSnapshot: (group: number, memberId: string) => void;
  /** Called after events that may have changed when the next tick is due. */
  readonly onTickChange: (nextTickMs: number) => void;
  readonly onRoleChange: (host: GroupHost, isLeader: boolean) => void;
}

interface PendingProposal {
  readonly term: number;
  readonly resolve: (result: unknown) => void;
  readonly reject: (error: ShedlineError) => void;
}

interface PendingRead {
  readonly resolve: () => void;
  readonly reject: (error: ShedlineError) => void;
}

/** Snapshot and files that another instance copies to catch up. */
export interface SnapshotManifest {
  readonly snapshot: StoredSnapshot;
  readonly files: readonly StateFile[];
}

/** Member of a group with its state machine. */
export class GroupHost {
  readonly group: number;
  readonly consensus: Consensus;
  readonly machine: GroupStateMachine;
  private readonly options: GroupHostOptions;
  private applied: number;
  private isPumping = false;
  private isTakingSnapshot = false;
  private isClosed = false;
  private isReportedLeader = false;
  private bytesSinceSnapshot = 0;
  private snapshotIndex: number;
  private nextReadId = 1;
  private readonly proposals = new Map<number, PendingProposal>();
  private readonly reads = new Map<number, PendingRead>();
  private readsAwaitingApply: { readonly index: number; readonly readId: number }[] = [];
  private readonly rebuild: StateRebuild;
  /** State without any command, from which a group without a snapshot is rebuilt. */
  private readonly initialState: Uint8Array | undefined;

  constructor(options: GroupHostOptions) {
    this.options = options;
    this.group = options.group;
    this.consensus = options.consensus;
    this.machine = options.machine;
    this.applied = options.appliedIndex;
    this.snapshotIndex = options.appliedIndex;
    this.initialState = options.appliedIndex === 0 ? this.machine.snapshot() : undefined;
    this.rebuild = new StateRebuild({
      ...options,
      rebuild: (snapshot) => {
        this.rebuildFrom(snapshot);
      },
      onRebuilt: () => {
        this.consensus.setAbleToLead(true);
        this.pump();
      },
    });
  }

  /** Index of the last entry that the state machine has applied. */
  get appliedIndex(): number {
    return this.applied;
  }

  /** Whether this member is leader, as last reported through `onRoleChange`. */
  get isLeader(): boolean {
    return this.isReportedLeader;
  }

  /** Whether this member serves nothing, because it could not apply a command. */
  get isRebuilding(): boolean {
    return this.rebuild.isNeeded;
  }

  /** Advances the time of the consensus member. */
  tick(nowMs: number): void {
    this.consensus.tick(nowMs);
    this.pump();
  }

  /** Handles a message from another member. */
  receive(message: ConsensusMessage, nowMs: number): void {
    this.consensus.receive(message, nowMs);
    this.pump();
  }

  /** Proposes a command; resolves with its result once it is committed and applied. */
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

  /** Runs a linearizable query; its result includes all commands acknowledged before the call. */
  async query(query: Query): Promise<unknown> {
    await this.confirmLeadership();
    return this.machine.query?.(query, Date.now());
  }

  /** Resolves once a quorum has confirmed this leader and the state is up to date. */
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

  /** Proposes a membership change; returns whether it was appended to the log. */
  changeMembers(config: GroupConfig): boolean {
    const accepted = this.consensus.proposeConfig(config);
    this.pump();
    return accepted;
  }

  /** Starts a leadership transfer to the most up-to-date voter, for a planned stop. */
  transferLeadership(nowMs: number): void {
    this.consensus.transferLeadership(nowMs);
    this.pump();
  }

  /** Returns what a lagging member has to copy; takes a snapshot if there is no recent snapshot. */
  async manifest(): Promise<SnapshotManifest> {
    if (this.rebuild.isNeeded) throw this.notLeading('snapshot', this.consensus.leaderId);
    let snapshot = await this.options.storage.readSnapshot(this.group);
    const isUsable = snapshot !== undefined && snapshot.position.index >= this.firstRetainedIndex();
    if (!isUsable) {
      await this.takeSnapshot();
      snapshot = await this.options.storage.readSnapshot(this.group);
    }
    if (snapshot === undefined) throw this.notLeading('snapshot', this.consensus.leaderId);
    return { snapshot, files: [...this.machine.fileSizes(), ...this.releasedFiles()] };
  }

  /** Installs a copied snapshot whose files are synced; returns false if it is outdated. */
  async install(manifest: SnapshotManifest, leaderId: string): Promise<boolean> {
    const { position, state } = manifest.snapshot;
    if (position.index <= this.applied) return false;
    await this.options.storage.saveSnapshot(this.group, position, state);
    if (position.index <= this.applied) return false;
    if (!this.consensus.installSnapshot(position, leaderId)) return false;
    this.machine.restore(state);
    this.applied = position.index;
    this.snapshotIndex = position.index;
    this.rebuild.end();
    this.consensus.setAbleToLead(true);
    this.pump();
    return true;
  }

  /** Stores a snapshot of the state, so that older log entries can be removed. */
  async takeSnapshot(): Promise<void> {
    if (this.isTakingSnapshot || this.rebuild.isNeeded) return;
    if (this.applied <= this.snapshotIndex) return;
    this.isTakingSnapshot = true;
    const index = this.applied;
    const term = this.consensus.termAt(index);
    if (term !== undefined) {
      const position = { index, term, config: this.consensus.configAt(index) };
      const state = this.machine.snapshot();
      const { released } = this.options.itemFiles;
      this.bytesSinceSnapshot = 0;
      if (await this.saveSnapshot(position, state)) this.removeReleased(released);
    }
    this.isTakingSnapshot = false;
  }

  /** Stops the member; rejects pending proposals and reads. */
  close(): void {
    this.isClosed = true;
    this.rebuild.close();
    this.rejectAll('the instance is stopping');
  }

  /** Stores a snapshot; returns false if that failed. */
  private async saveSnapshot(
    position: StoredSnapshot['position'],
    state: Uint8Array,
  ): Promise<boolean> {
    try {
      await this.options.itemFiles.sync();
      await this.options.storage.saveSnapshot(this.group, position, state);
      this.snapshotIndex = position.index;
      this.consensus.compactTo(position.index - TRAILING_ENTRIES);
      return true;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.error('snapshot failed', { group: this.group, step: 'snapshot', reason });
      return false;
    }
  }

  /** Files that the latest stored snapshot may refer to, though the state no longer does. */
  private releasedFiles(): StateFile[] {
    const { itemFiles } = this.options;
    return itemFiles.released.map((file) => ({ file, sizeBytes: itemFiles.sizeBytes(file) }));
  }

  private removeReleased(files: readonly string[]): void {
    try {
      this.options.itemFiles.removeReleased(files);
    } catch (error) {
      // They stay released, so that the next snapshot removes them.
      const reason = error instanceof Error ? error.message : String(error);
      const fields = { group: this.group, step: 'snapshot', reason };
      this.options.logger.error('released files not removed', fields);
    }
  }

  private firstRetainedIndex(): number {
    return this.applied - TRAILING_ENTRIES;
  }

  private pump(): void {
    if (this.isPumping || this.isClosed) return;
    this.isPumping = true;
    void this.pumpLoop();
  }

  private async pumpLoop(): Promise<void> {
    for (;;) {
      const ready = this.consensus.takeReady();
      this.updateRole();
      if (isEmpty(ready)) {
        // Cleared before any await, so that the next event starts a new loop.
        this.isPumping = false;
        this.options.onTickChange(this.consensus.nextTickMs);
        return;
      }
      for (const message of ready.earlyMessages) this.options.send(this.group, message);
      for (const memberId of ready.snapshotsTo) this.options.offerSnapshot(this.group, memberId);
      this.applyAll(ready.committed);
      this.completeReads(ready);
      await this.persist(ready);
      if (this.isClosed) return;
      for (const message of ready.messages) this.options.send(this.group, message);
      this.consensus.persisted(ready);
      this.takeSnapshotIfDue();
    }
  }

  private async persist(ready: Ready): Promise<void> {
    if (ready.hardState === undefined && ready.entries.length === 0) return;
    const { hardState, entries } = ready;
    await this.options.storage.append({ group: this.group, hardState, entries });
  }

  private updateRole(): void {
    const isLeader = this.consensus.role === 'leader';
    if (isLeader === this.isReportedLeader) return;
    this.isReportedLeader = isLeader;
    if (!isLeader) this.rejectAll('the leadership changed');
    this.options.onRoleChange(this, isLeader);
  }

  /** Applies entries until one fails for a reason of this machine. */
  private applyAll(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      // The rebuild applies the rest.
      if (this.rebuild.isNeeded) return;
      try {
        this.applyEntry(entry);
      } catch (error) {
        if (!isLocalFailure(error)) throw error;
        this.stopAt(entry.index, error);
      }
    }
    const readyReads = this.readsAwaitingApply.filter((read) => read.index <= this.applied);
    this.readsAwaitingApply = this.readsAwaitingApply.filter((read) => read.index > this.applied);
    for (const read of readyReads) this.resolveRead(read.readId);
  }

  /** Serves nothing and hands over the leadership until the state is complete again. */
  private stopAt(index: number, failure: Error): void {
    this.rebuild.start(index, failure);
    this.consensus.setAbleToLead(false);
    this.updateRole();
  }

  private rebuildFrom(snapshot: StoredSnapshot | undefined): void {
    const state = snapshot?.state ?? this.initialState;
    const index = snapshot?.position.index ?? 0;
    if (state === undefined) throw new Error('no state to rebuild from');
    this.machine.restore(state);
    this.applied = index;
    this.bytesSinceSnapshot = 0;
    for (const entry of this.consensus.committedEntriesAfter(index)) this.applyEntry(entry);
  }

  private applyEntry(entry: LogEntry): void {
    const result = entry.kind === 'command' ? this.applyCommand(entry) : undefined;
    this.applied = entry.index;
    this.bytesSinceSnapshot += entry.data.length;
    const pending = this.proposals.get(entry.index);
    if (pending === undefined) return;
    this.proposals.delete(entry.index);
    if (pending.term === entry.term) pending.resolve(result);
    else pending.reject(this.unknownOutcome('another leader replaced the entry'));
  }

  private applyCommand(entry: LogEntry): unknown {
    try {
      return this.machine.apply(unpack(entry.data), entry.index);
    } catch (error) {
      // Damaged storage and a failed call affect only this replica: continuing would let it diverge.
      if (error instanceof ShedlineError || isLocalFailure(error)) throw error;
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.error('command failed', { group: this.group, step: 'apply', message });
      return { ok: false, reason: 'invalid', message };
    }
  }

  private completeReads(ready: Ready): void {
    for (const read of ready.reads) {
      if (this.rebuild.isNeeded) continue;
      if (read.index <= this.applied) this.resolveRead(read.readId);
      else this.readsAwaitingApply.push(read);
    }
  }

  private resolveRead(readId: number): void {
    this.reads.get(readId)?.resolve();
    this.reads.delete(readId);
  }

  private takeSnapshotIfDue(): void {
    const hasManyEntries = this.applied - this.snapshotIndex >= MAX_ENTRIES_BEFORE_SNAPSHOT;
    if (hasManyEntries || this.bytesSinceSnapshot >= this.options.snapshotAfterBytes) {
      void this.takeSnapshot();
    }
  }

  private rejectAll(reason: string): void {
    for (const proposal of this.proposals.values()) proposal.reject(this.unknownOutcome(reason));
    this.proposals.clear();
    for (const read of this.reads.values()) {
      read.reject(this.notLeading('read', this.consensus.leaderId));
    }
    this.reads.clear();
    this.readsAwaitingApply = [];
  }

  private unknownOutcome(reason: string): ShedlineError {
    return new ShedlineError({
      type: 'unavailable',
      message: `unknown whether the command was accepted: ${reason}`,
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
