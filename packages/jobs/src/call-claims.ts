/**
 * Claims of non-idempotent calls. A key is claimed before the single attempt and the response is
 * recorded, so that a retry with the same key never runs the call again.
 */
import type { ItemFiles } from '@shedline/storage';
import type { ClaimAnswer, ClaimCall, FinishCall } from './commands.js';

/** Number of claims whose responses share one file. */
const CLAIMS_PER_FILE = 1024;
/** Time after its deadline from which a claim without a response counts as in doubt. */
const IN_DOUBT_GRACE_MS = 5000;

interface Claim {
  readonly claimId: string;
  readonly requestHash: string;
  readonly claimedAtMs: number;
  readonly deadlineMs: number;
  state: 'inProgress' | 'recorded' | 'inDoubt';
  status: number;
  contentType: string;
  file: string;
  offset: number;
}

/** Serialized form of {@link CallClaims} in a snapshot. */
export interface CallClaimsData {
  readonly claims: readonly [string, Claim][];
  readonly recordedCount: number;
  readonly fileBytes: number;
}

/** Claims of one group. */
export class CallClaims {
  private claims = new Map<string, Claim>();
  private recordedCount = 0;
  private fileBytes = 0;
  private readonly files: ItemFiles;

  constructor(files: ItemFiles) {
    this.files = files;
  }

  /** Number of claims kept. */
  get size(): number {
    return this.claims.size;
  }

  /** Claims a key, or returns the state of an existing claim. */
  claim(command: ClaimCall): ClaimAnswer {
    const existing = this.claims.get(command.key);
    if (existing === undefined) {
      this.claims.set(command.key, createClaim(command));
      return { ok: true, claim: 'granted' };
    }
    if (existing.requestHash !== command.requestHash) return { ok: true, claim: 'mismatch' };
    if (existing.state === 'recorded') return this.recordedReply(existing);
    const isRetry = existing.claimId === command.claimId && existing.state === 'inProgress';
    if (isRetry) return { ok: true, claim: 'granted' };
    const isOverdue = command.atMs > existing.claimedAtMs + existing.deadlineMs + IN_DOUBT_GRACE_MS;
    const isInDoubt = existing.state === 'inDoubt' || isOverdue;
    return { ok: true, claim: isInDoubt ? 'inDoubt' : 'inProgress' };
  }

  /** Records the outcome of a claimed call; the first recorded response is final. */
  finish(command: FinishCall): void {
    const claim = this.claims.get(command.key);
    if (claim === undefined || claim.state === 'recorded') return;
    if (command.outcome === 'notRun') {
      // Only the holder of a claim in progress can be certain that nothing was sent.
      const isHolder = claim.claimId === command.claimId;
      if (isHolder && claim.state === 'inProgress') this.claims.delete(command.key);
      return;
    }
    if (command.outcome === 'inDoubt') {
      claim.state = 'inDoubt';
      return;
    }
    this.record(claim, command);
  }

  /** Removes claims made before `atMs`, and the files that are no longer used. */
  removeBefore(atMs: number): void {
    const filesInUse = new Set<string>([this.currentFile()]);
    const releasedFiles = new Set<string>();
    for (const [key, claim] of this.claims) {
      if (claim.claimedAtMs >= atMs) {
        filesInUse.add(claim.file);
        continue;
      }
      this.claims.delete(key);
      if (claim.file !== '') releasedFiles.add(claim.file);
    }
    for (const file of releasedFiles) {
      if (!filesInUse.has(file)) this.files.release(file);
    }
  }

  /** Files in use and the valid size of each. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    const files = new Set([...this.claims.values()].map((claim) => claim.file));
    files.delete('');
    return [...files].map((file) => ({ file, sizeBytes: this.validBytes(file) }));
  }

  /** Returns the serialized form for a snapshot. */
  toData(): CallClaimsData {
    return {
      claims: [...this.claims].map(([key, claim]) => [key, { ...claim }]),
      recordedCount: this.recordedCount,
      fileBytes: this.fileBytes,
    };
  }

  /** Replaces the claims by those of a snapshot. */
  restore(data: CallClaimsData): void {
    this.claims = new Map(data.claims.map(([key, claim]) => [key, { ...claim }]));
    this.recordedCount = data.recordedCount;
    this.fileBytes = data.fileBytes;
  }

  private record(claim: Claim, command: FinishCall): void {
    claim.state = 'recorded';
    claim.status = command.status;
    claim.contentType = command.contentType;
    claim.file = this.currentFile();
    claim.offset = this.fileBytes;
    this.fileBytes = this.files.writeRecord(claim.file, claim.offset, command.body);
    this.recordedCount += 1;
    if (this.recordedCount % CLAIMS_PER_FILE === 0) this.fileBytes = 0;
  }

  private recordedReply(claim: Claim): ClaimAnswer {
    return {
      ok: true,
      claim: 'recorded',
      status: claim.status,
      contentType: claim.contentType,
      body: this.files.readRecord(claim.file, claim.offset),
    };
  }

  private currentFile(): string {
    return `calls-${Math.floor(this.recordedCount / CLAIMS_PER_FILE)}`;
  }

  /** Valid size of a file; a file that is no longer written is valid to its end. */
  private validBytes(file: string): number {
    return file === this.currentFile() ? this.fileBytes : this.files.sizeBytes(file);
  }
}

function createClaim(command: ClaimCall): Claim {
  return {
    claimId: command.claimId,
    requestHash: command.requestHash,
    claimedAtMs: command.atMs,
    deadlineMs: command.deadlineMs,
    state: 'inProgress',
    status: 0,
    contentType: '',
    file: '',
    offset: 0,
  };
}
