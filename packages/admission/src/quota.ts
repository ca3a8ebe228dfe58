/**
 * Limits that hold over all entries: one owner per row leases shares of each limit to the
 * entries that request them.
 *
 * A part of each limit is split evenly and needs no owner: an entry may always use its part.
 * The owner leases the rest by demand, under these rules, by which the sum of all shares never
 * exceeds the limit, whichever processes fail or are partitioned:
 *
 * 1. An owner grants only while more than half of all configured entries support it, and
 *    only after that has held for a whole lease period, so that all grants of an earlier owner
 *    have expired.
 * 2. Support is dated by the owner's own clock: a request counts from the time at which the owner
 *    issued the token that the request carries. A delayed message thus adds no new support.
 * 3. An entry that changes to another owner first waits for a lease period after its last request.
 */
/** Lease period: lifetime of a share, and wait of an entry before it changes to another owner. */
export const DEFAULT_QUOTA_LEASE_MS = 1000;
/** Part of each limit that is split evenly over all entries. */
export const DEFAULT_EVEN_SHARE = 0.2;
/** Lease periods without a request after which a row is removed. */
const IDLE_LEASE_PERIODS = 10;

/** A request for a share of a limit. */
export interface QuotaRequest {
  readonly entry: string;
  readonly row: string;
  /** Amount of the limit that the entry could use now. */
  readonly demand: number;
  /** The limit in the entry's revision of the table. */
  readonly limit: number;
  readonly revision: number;
  /** Token of the owner's last reply to this entry. */
  readonly token?: QuotaToken;
}

/** Time of a reply, by the clock of the owner process named by its epoch. */
export interface QuotaToken {
  readonly ownerEpoch: string;
  readonly atMs: number;
}

/** Reply of an owner to {@link QuotaRequest}. */
export interface QuotaAnswer {
  readonly granted: number;
  readonly token: QuotaToken;
}

/** Options of {@link QuotaOwner}. */
export interface QuotaOwnerOptions {
  /** Number of entries in the settings, whether or not they are running. */
  readonly entryCount: number;
  /** Unique to each process. */
  readonly epoch: string;
  readonly leaseMs?: number;
  readonly evenShare?: number;
}

interface Grant {
  readonly amount: number;
  readonly untilMs: number;
}

interface Requester {
  demand: number;
  lastRequestAtMs: number;
  /** Shares that may still be in use: a smaller grant does not revoke a larger one at once. */
  grants: Grant[];
}

interface OwnedRow {
  limit: number;
  revision: number;
  /** By entry. After a limit is lowered, shares of the former limit count until they expire. */
  readonly requesters: Map<string, Requester>;
}

/** Leases shares of the limits of the rows that this entry owns. */
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

  /** Number of rows owned at present. */
  get rowCount(): number {
    return this.rows.size;
  }

  /** Grants a share that the requesting entry may use for the lease period. */
  grant(request: QuotaRequest, nowMs: number): QuotaAnswer {
    this.recordSupport(request, nowMs);
    const row = this.rowOf(request);
    const requester = row.requesters.get(request.entry) ?? {
      demand: 0,
      lastRequestAtMs: nowMs,
      grants: [],
    };
    row.requesters.set(request.entry, requester);
    requester.demand = request.demand;
    requester.lastRequestAtMs = nowMs;
    const token = { ownerEpoch: this.epoch, atMs: nowMs };
    if (!this.mayGrant(nowMs)) return { granted: 0, token };
    const free = this.leasableAmount(row) - this.grantedToOthers(row, request.entry, nowMs);
    const granted = Math.max(0, Math.min(this.fairShare(row, requester, nowMs), free));
    requester.grants = requester.grants.filter((grant) => grant.untilMs > nowMs);
    requester.grants.push({ amount: granted, untilMs: nowMs + this.leaseMs });
    return { granted, token };
  }

  /** Removes rows that were not requested recently. */
  removeIdle(nowMs: number): void {
    for (const [key, row] of this.rows) {
      const isActive = [...row.requesters.values()].some(
        (requester) => nowMs - requester.lastRequestAtMs < IDLE_LEASE_PERIODS * this.leaseMs,
      );
      if (!isActive) this.rows.delete(key);
    }
  }

  protected mayGrant(nowMs: number): boolean {
    if (!this.hasMajority(nowMs)) {
      this.majoritySinceMs = undefined;
      return false;
    }
    this.majoritySinceMs ??= nowMs;
    return nowMs - this.majoritySinceMs >= this.leaseMs;
  }

  private recordSupport(request: QuotaRequest, nowMs: number): void {
    // A majority that lapsed between two requests must be noticed before new support is added.
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
      const requesters = new Map<string, Requester>();
      const created = { limit: request.limit, revision: request.revision, requesters };
      this.rows.set(request.row, created);
      return created;
    }
    if (request.revision > known.revision) {
      known.limit = request.limit;
      known.revision = request.revision;
    }
    return known;
  }

  private leasableAmount(row: OwnedRow): number {
    return row.limit * (1 - this.evenShare);
  }

  private grantedToOthers(row: OwnedRow, except: string, nowMs: number): number {
    let sum = 0;
    for (const [entry, requester] of row.requesters) {
      if (entry === except) continue;
      sum += Math.max(0, ...requester.grants.filter((g) => g.untilMs > nowMs).map((g) => g.amount));
    }
    return sum;
  }

  /** Max-min fair share: small demands are met in full, the others share the rest equally. */
  private fairShare(row: OwnedRow, requester: Requester, nowMs: number): number {
    const active = [...row.requesters.values()].filter(
      (other) => nowMs - other.lastRequestAtMs < this.leaseMs,
    );
    const demands = active.map((other) => other.demand).sort((a, b) => a - b);
    let left = this.leasableAmount(row);
    for (const [position, demand] of demands.entries()) {
      const equal = left / (demands.length - position);
      if (demand >= equal) return Math.min(requester.demand, equal);
      left -= demand;
    }
    return requester.demand;
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

/** The shares that an entry holds, and the owner that it may send requests to. */
export class QuotaHolder {
  private readonly entryCount: number;
  private readonly leaseMs: number;
  private readonly evenShare: number;
  private readonly shares = new Map<string, HeldShare>();
  private owner = '';
  private token: QuotaToken | undefined;
  private lastRequestAtMs = -Infinity;

  constructor(options: QuotaHolderOptions) {
    this.entryCount = options.entryCount;
    this.leaseMs = options.leaseMs ?? DEFAULT_QUOTA_LEASE_MS;
    this.evenShare = options.evenShare ?? DEFAULT_EVEN_SHARE;
  }

  /**
   * Returns the owner to send a request to now. `preferred` is the owner by the present membership;
   * the result is undefined until a lease period has passed since the last request to another
   * owner.
   */
  selectOwner(preferred: string, nowMs: number): string | undefined {
    if (preferred !== this.owner) {
      if (nowMs - this.lastRequestAtMs < this.leaseMs) return undefined;
      this.owner = preferred;
      this.token = undefined;
    }
    this.lastRequestAtMs = nowMs;
    return this.owner;
  }

  /** Token to send with the next request to the owner. */
  get lastToken(): QuotaToken | undefined {
    return this.token;
  }

  /**
   * Records a reply of `owner`. The lease is counted from the time of the request, which is before
   * the time of the grant.
   */
  recordReply(owner: string, row: string, reply: QuotaAnswer, requestedAtMs: number): void {
    if (owner !== this.owner) return;
    this.token = reply.token;
    this.shares.set(row, { amount: reply.granted, untilMs: requestedAtMs + this.leaseMs });
  }

  /** Returns the amount of a limit that this entry may use now. */
  allowance(row: string, limit: number, nowMs: number): number {
    const even = (limit * this.evenShare) / this.entryCount;
    const share = this.shares.get(row);
    if (share === undefined || nowMs >= share.untilMs) return even;
    return even + Math.min(share.amount, limit * (1 - this.evenShare));
  }
}
