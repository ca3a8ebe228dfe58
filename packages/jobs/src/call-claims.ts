/**
 * Claims of non-idempotent calls: a key is claimed before the one send, and its answer is
 * kept, so that a resend of the key never runs the call again.
 */
import type { ItemFiles } from '@shedline/storage';
import type { ClaimAnswer, ClaimCall, FinishCall } from './commands.js';

/** Claims whose answers share one file. */
const CLAIMS_PER_FILE = 1024;
/** A claim without an answer counts as in doubt this long after its deadline. */
const GRACE_MS = 5000;

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

/** The plain form of {@link CallClaims} in a snapshot. */
export interface CallClaimsData {
  readonly claims: readonly [string, Claim][];
  readonly recordedCount: number;
  readonly fileBytes: number;
}

/** The claims of one group. */
export class CallClaims {
  private claims = new Map<string, Claim>();
  private recordedCount = 0;
  private fileBytes = 0;
  private readonly files: ItemFiles;

  constructor(files: ItemFiles) {
    this.files = files;
  }

  /** Claims remembered. */
  get size(): number {
    return this.claims.size;
  }

  /** Claims a key, or tells what became of it. */
  claim(command: ClaimCall): ClaimAnswer {
    const known = this.claims.get(command.key);
    if (known === undefined) {
      this.claims.set(command.key, newClaim(command));
      return { ok: true, claim: 'granted' };
    }
    if (known.requestHash !== command.requestHash) return { ok: true, claim: 'mismatch' };
    if (known.state === 'recorded') return this.recordedAnswer(known);
    const resent = known.claimId === command.claimId && known.state === 'inProgress';
    if (resent) return { ok: true, claim: 'granted' };
    const overdue = command.atMs > known.claimedAtMs + known.deadlineMs + GRACE_MS;
    const doubtful = known.state === 'inDoubt' || overdue;
    return { ok: true, claim: doubtful ? 'inDoubt' : 'inProgress' };
  }

  /** Notes how a claimed call ended; the first recorded answer stays. */
  finish(command: FinishCall): void {
    const claim = this.claims.get(command.key);
    if (claim === undefined || claim.state === 'recorded') return;
    if (command.outcome === 'notRun') {
      // Only the holder of a fresh claim knows that nothing was sent.
      const holder = claim.claimId === command.claimId;
      if (holder && claim.state === 'inProgress') this.claims.delete(command.key);
      return;
    }
    if (command.outcome === 'inDoubt') {
      claim.state = 'inDoubt';
      return;
    }
    this.record(claim, command);
  }

  /** Forgets claims older than the retention. */
  forgetBefore(atMs: number): void {
    const filesInUse = new Set<string>([this.currentFile()]);
    const filesDropped = new Set<string>();
    for (const [key, claim] of this.claims) {
      if (claim.claimedAtMs >= atMs) {
        filesInUse.add(claim.file);
        continue;
      }
      this.claims.delete(key);
      if (claim.file !== '') filesDropped.add(claim.file);
    }
    for (const file of filesDropped) {
      if (!filesInUse.has(file)) this.files.remove(file);
    }
  }

  /** Files in use and how much of each is valid. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    const files = new Set([...this.claims.values()].map((claim) => claim.file));
    files.delete('');
    return [...files].map((file) => ({ file, sizeBytes: this.validBytes(file) }));
  }

  /** Plain form for a snapshot. */
  toData(): CallClaimsData {
    return {
      claims: [...this.claims].map(([key, claim]) => [key, { ...claim }]),
      recordedCount: this.recordedCount,
      fileBytes: this.fileBytes,
    };
  }

  /** Takes the place of what is here. */
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

  private recordedAnswer(claim: Claim): ClaimAnswer {
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

  /** A file that is no longer written is valid to its end. */
  private validBytes(file: string): number {
    return file === this.currentFile() ? this.fileBytes : Number.MAX_SAFE_INTEGER;
  }
}

function newClaim(command: ClaimCall): Claim {
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
