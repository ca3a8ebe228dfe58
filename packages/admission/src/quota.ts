/**
 * Limits that hold over all entries: one owner per row leases shares of each limit to the
 * entries that ask.
 *
 * A part of each limit is split evenly and needs no owner: an entry may always use its part.
 * The owner leases out the rest by demand, under these rules, by which the sum of all shares
 * never exceeds the limit, whoever is lost or cut off:
 *
 * 1. An owner grants only while more than half of all configured entries support it, and
 *    only after that has held for a whole lease period, so that what an earlier owner granted
 *    has run out.
 * 2. Support is dated by the owner's own clock: an ask counts from the moment at which the
 *    owner gave out the token that the ask brings back. A late message proves nothing new.
 * 3. An entry that turns to another owner first lets a lease period pass after its last ask.
 */
/** Time that a share lasts, and that an entry waits before it asks another owner. */
export const DEFAULT_QUOTA_LEASE_MS = 1000;
/** Part of each limit that is split evenly. */
export const DEFAULT_EVEN_SHARE = 0.2;
/** Lease periods after which a row that nobody asks for is forgotten. */
const IDLE_LEASES = 10;

/** A request for a share of a limit. */
export interface QuotaRequest {
  readonly entry: string;
  readonly row: string;
  /** How much of the limit the entry could use now. */
  readonly demand: number;
  /** The limit as the entry's table has it. */
  readonly limit: number;
  readonly revision: number;
  /** Token of the owner's last answer to this entry. */
  readonly token?: QuotaToken;
}

/** Says when, on the clock of which owner process, an answer was given. */
export interface QuotaToken {
  readonly ownerEpoch: string;
  readonly atMs: number;
}

/** Answer of an owner. */
export interface QuotaAnswer {
  readonly granted: number;
  readonly token: QuotaToken;
}

/** Options of {@link QuotaOwner}. */
export interface QuotaOwnerOptions {
  /** Entries in the settings, whether up or not. */
  readonly entryCount: number;
  /** Differs between any two processes. */
  readonly epoch: string;
  readonly leaseMs?: number;
  readonly evenShare?: number;
}

interface Grant {
  readonly amount: number;
  readonly untilMs: number;
}

interface Asker {
  demand: number;
  heardAtMs: number;
  /** Shares that may still be in use; a smaller one does not end a larger one at once. */
  grants: Grant[];
}

interface OwnedRow {
  limit: number;
  revision: number;
  /** A lowered limit counts only once the shares of the higher one have run out. */
  readonly askers: Map<string, Asker>;
}

/** Shares out the limits of the rows that this entry owns. */
export class QuotaOwner {
  private readonly entryCount: number;
  private readonly epoch: string;
  private readonly leaseMs: number;
  private readonly evenShare: number;
  private readonly rows = new Map<string, OwnedRow>();
  private readonly supportedAtMs = new Map<string, number>();
  private majoritySinceMs: number | undefined;

  constructor(options: QuotaOwnerOptions) {
    this.entryCount = options.entryCount;
    this.epoch = options.epoch;
    this.leaseMs = options.leaseMs ?? DEFAULT_QUOTA_LEASE_MS;
    this.evenShare = options.evenShare ?? DEFAULT_EVEN_SHARE;
  }

  /** Rows owned at present. */
  get rowCount(): number {
    return this.rows.size;
  }

  /** Answers a request with the share that the entry holds for the lease period. */
  ask(request: QuotaRequest, nowMs: number): QuotaAnswer {
    this.noteSupport(request, nowMs);
    const row = this.rowOf(request);
    const asker = row.askers.get(request.entry) ?? { demand: 0, heardAtMs: nowMs, grants: [] };
    row.askers.set(request.entry, asker);
    asker.demand = request.demand;
    asker.heardAtMs = nowMs;
    const token = { ownerEpoch: this.epoch, atMs: nowMs };
    if (!this.mayGrant(nowMs)) return { granted: 0, token };
    const free = this.pool(row) - this.outstanding(row, request.entry, nowMs);
    const granted = Math.max(0, Math.min(this.fairShare(row, asker, nowMs), free));
    asker.grants = asker.grants.filter((grant) => grant.untilMs > nowMs);
    asker.grants.push({ amount: granted, untilMs: nowMs + this.leaseMs });
    return { granted, token };
  }

  /** Forgets rows that nobody asks for. */
  forgetIdle(nowMs: number): void {
    for (const [key, row] of this.rows) {
      const heard = [...row.askers.values()].some(
        (asker) => nowMs - asker.heardAtMs < IDLE_LEASES * this.leaseMs,
      );
      if (!heard) this.rows.delete(key);
    }
  }

  /** Whether this owner may grant now. */
  protected mayGrant(nowMs: number): boolean {
    if (!this.hasMajority(nowMs)) {
      this.majoritySinceMs = undefined;
      return false;
    }
    this.majoritySinceMs ??= nowMs;
    return nowMs - this.majoritySinceMs >= this.leaseMs;
  }

  private noteSupport(request: QuotaRequest, nowMs: number): void {
    // Support that lapsed between two asks must break the majority even if nobody looked.
    this.mayGrant(nowMs);
    const { entry, token } = request;
    if (token?.ownerEpoch !== this.epoch) return;
    const before = this.supportedAtMs.get(entry) ?? -Infinity;
    this.supportedAtMs.set(entry, Math.max(before, token.atMs));
  }

  private hasMajority(nowMs: number): boolean {
    let count = 0;
    for (const supportedAtMs of this.supportedAtMs.values()) {
      if (nowMs - supportedAtMs < this.leaseMs) count += 1;
    }
    return count > this.entryCount / 2;
  }

  private rowOf(request: QuotaRequest): OwnedRow {
    const known = this.rows.get(request.row);
    if (known === undefined) {
      const askers = new Map<string, Asker>();
      const fresh = { limit: request.limit, revision: request.revision, askers };
      this.rows.set(request.row, fresh);
      return fresh;
    }
    if (request.revision > known.revision) {
      known.limit = request.limit;
      known.revision = request.revision;
    }
    return known;
  }

  private pool(row: OwnedRow): number {
    return row.limit * (1 - this.evenShare);
  }

  private outstanding(row: OwnedRow, except: string, nowMs: number): number {
    let sum = 0;
    for (const [entry, asker] of row.askers) {
      if (entry === except) continue;
      sum += Math.max(0, ...asker.grants.filter((g) => g.untilMs > nowMs).map((g) => g.amount));
    }
    return sum;
  }

  /** Demand is met from the smallest up; who asks for more shares what is left. */
  private fairShare(row: OwnedRow, asker: Asker, nowMs: number): number {
    const active = [...row.askers.values()].filter(
      (other) => nowMs - other.heardAtMs < this.leaseMs,
    );
    const demands = active.map((other) => other.demand).sort((a, b) => a - b);
    let left = this.pool(row);
    for (const [position, demand] of demands.entries()) {
      const equal = left / (demands.length - position);
      if (demand >= equal) return Math.min(asker.demand, equal);
      left -= demand;
    }
    return asker.demand;
  }
}

/** Options of {@link QuotaHolder}. */
export interface QuotaHolderOptions {
  readonly entryCount: number;
  readonly leaseMs?: number;
  readonly evenShare?: number;
}

interface HeldShare {
  readonly amount: number;
  readonly untilMs: number;
}

/** The shares that an entry holds, and whom it may ask. */
export class QuotaHolder {
  private readonly entryCount: number;
  private readonly leaseMs: number;
  private readonly evenShare: number;
  private readonly shares = new Map<string, HeldShare>();
  private owner = '';
  private token: QuotaToken | undefined;
  private lastAskedMs = -Infinity;

  constructor(options: QuotaHolderOptions) {
    this.entryCount = options.entryCount;
    this.leaseMs = options.leaseMs ?? DEFAULT_QUOTA_LEASE_MS;
    this.evenShare = options.evenShare ?? DEFAULT_EVEN_SHARE;
  }

  /**
   * The owner to ask now, given who should own by the present view; undefined while the
   * period since the last word to another owner has not passed.
   */
  ownerToAsk(preferred: string, nowMs: number): string | undefined {
    if (preferred !== this.owner) {
      if (nowMs - this.lastAskedMs < this.leaseMs) return undefined;
      this.owner = preferred;
      this.token = undefined;
    }
    this.lastAskedMs = nowMs;
    return this.owner;
  }

  /** Token to bring back to the owner. */
  get lastToken(): QuotaToken | undefined {
    return this.token;
  }

  /**
   * Takes an answer of `owner`. The share counts from when it was asked for, which is before
   * it was granted.
   */
  answered(owner: string, row: string, answer: QuotaAnswer, askedAtMs: number): void {
    if (owner !== this.owner) return;
    this.token = answer.token;
    this.shares.set(row, { amount: answer.granted, untilMs: askedAtMs + this.leaseMs });
  }

  /** How much of a limit this entry may use now. */
  allowance(row: string, limit: number, nowMs: number): number {
    const even = (limit * this.evenShare) / this.entryCount;
    const share = this.shares.get(row);
    if (share === undefined || nowMs >= share.untilMs) return even;
    return even + Math.min(share.amount, limit * (1 - this.evenShare));
  }
}
