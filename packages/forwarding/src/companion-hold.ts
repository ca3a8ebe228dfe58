/**
 * The companions of one request, which show whether the process that runs it has ended.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { isInProgress } from './accompanied-request.js';
import type { AccompaniedRequest } from './accompanied-request.js';
import type { Companion, CompanionUser } from './companion.js';
import { PROCESS_END_SPREAD_MS, REPLACEMENT_PROOF_MS } from './idle-lifetimes.js';

/** Number of companions of a request: one stays open while the other is closed as idle. */
const COMPANION_COUNT = 2;
/**
 * Minimum time between two companions of a request whose endpoint closes them, such as one that
 * accepts no further connections.
 */
const REOPEN_INTERVAL_MS = 250;
/** Interval of checks whether a paused request is read again. */
const PAUSED_INTERVAL_MS = 100;

/**
 * When a hold begins: before the connection of its request is opened, before the request is sent on a
 * connection that may be open already, or when its response has begun.
 */
export type HoldBegin = 'beforeConnection' | 'beforeSend' | 'afterHead';

/** Options of {@link CompanionHold}. */
export interface HoldOptions {
  readonly request: AccompaniedRequest;
  readonly begin: HoldBegin;
}

/** Opens companions. */
export interface CompanionSource {
  /** Returns a companion that need not be replaced yet. */
  open(address: string): Companion;
  /** Age from which a companion is replaced. */
  refreshMs(address: string): number;
}

/** The companions of one request. */
export class CompanionHold implements CompanionUser {
  private readonly request: AccompaniedRequest;
  private readonly begin: HoldBegin;
  private readonly source: CompanionSource;
  /** From the oldest to the newest. */
  private companions: readonly Companion[] = [];
  /** Companions that were accepted by the process that runs the request. */
  private readonly witnesses = new Set<Companion>();
  private first: Companion | undefined;
  /** Whether the process that accepts the first companion cannot be a successor of the request's. */
  private isFirstEarlier = false;
  private attachTimer: NodeJS.Timeout | undefined;
  private isReleased = false;
  private endedAtMs = Infinity;
  /** Whether the process has responded to a request that was sent after the end of the response. */
  private hasResponded = false;
  private resolveResponded: () => void = () => undefined;

  constructor({ request, begin }: HoldOptions, source: CompanionSource) {
    this.request = request;
    this.begin = begin;
    this.source = source;
    this.attach();
  }

  /**
   * What the companions show of the process that runs the request; `unknown` if none could be
   * opened, or if all were closed while the response went on.
   */
  get endpointState(): 'alive' | 'ended' | 'unknown' {
    if (this.hasResponded) return 'alive';
    if (this.witnesses.size === 0) return 'unknown';
    return [...this.witnesses].some(({ isClosed }) => !isClosed) ? 'alive' : 'ended';
  }

  /**
   * Sends a health check, if there is a `request` for one, to the process that runs the request, after
   * the end of the response. Resolves when the process has responded to a health check that was sent
   * since the end, also by another hold; never if it does not.
   */
  whenResponded(request: string | undefined): Promise<void> {
    const endedAtMs = performance.now();
    this.endedAtMs = endedAtMs;
    if (request !== undefined) {
      for (const companion of this.witnesses) {
        if (companion.sendHealthCheck(request, endedAtMs)) break;
      }
    }
    return new Promise((resolve) => {
      this.resolveResponded = resolve;
    });
  }

  get isInProgress(): boolean {
    return this.request.isOpen();
  }

  /** Called when a companion has received the response to a health check. */
  onResponse(companion: Companion): void {
    if (!this.witnesses.has(companion) || !companion.isCheckedSince(this.endedAtMs)) return;
    this.hasResponded = true;
    this.resolveResponded();
  }

  onOpen(companion: Companion): void {
    void this.addWitness(companion);
  }

  onClosed(companion: Companion): void {
    void this.replace(companion);
  }

  /** Ends the hold. */
  release(): void {
    this.isReleased = true;
    clearTimeout(this.attachTimer);
    for (const companion of this.companions) companion.remove(this);
  }

  /**
   * Accepts an open companion as a witness. Another process may have taken over the address before
   * a later companion was opened. The connection of the request has ended then, which shows once all
   * of its bytes were read. A companion that replaces another one, or that was opened after the
   * response began, counts only if the request goes on for {@link REPLACEMENT_PROOF_MS}.
   */
  private async addWitness(companion: Companion): Promise<void> {
    const isFirst = companion === this.first;
    const mayBeOfSuccessor = !isFirst || this.begin === 'afterHead';
    if (mayBeOfSuccessor) await pause(Math.max(0, REPLACEMENT_PROOF_MS - companion.openForMs));
    if (!(isFirst && this.isFirstEarlier) && !(await isInProgress(this.request))) return;
    if (this.companions.includes(companion)) this.witnesses.add(companion);
  }

  /** Replaces a companion that the endpoint closed before the request ended. */
  private async replace(companion: Companion): Promise<void> {
    if (!(await isInProgress(this.request)) || this.isReleased) return;
    const isNewest = companion === this.companions.at(-1);
    this.drop(companion);
    if (isNewest) {
      this.attachAfter(Math.max(PROCESS_END_SPREAD_MS, REOPEN_INTERVAL_MS - companion.ageMs));
    } else {
      this.attachWhenDue();
    }
  }

  /** Adds a companion, and replaces it before the endpoint closes it as idle. */
  private attach(): void {
    const companion = this.source.open(this.request.address);
    if (!this.companions.includes(companion)) this.add(companion);
    for (const open of this.companions.filter(({ isOpen }) => isOpen)) {
      // The request may have been paused when the companion was opened.
      if (!this.witnesses.has(open)) void this.addWitness(open);
    }
    this.attachWhenDue();
  }

  private attachWhenDue(): void {
    const ageMs = this.companions.at(-1)?.ageMs ?? 0;
    this.attachAfter(this.source.refreshMs(this.request.address) - ageMs);
  }

  private attachAfter(delayMs: number): void {
    clearTimeout(this.attachTimer);
    this.attachTimer = setTimeout(() => {
      if (this.request.isOpen()) this.attach();
      else this.attachAfter(PAUSED_INTERVAL_MS);
    }, delayMs);
  }

  private add(companion: Companion): void {
    if (this.first === undefined) {
      this.first = companion;
      const isEarlierIfNew = this.begin === 'beforeConnection';
      this.isFirstEarlier = companion.isOpen ? this.begin !== 'afterHead' : isEarlierIfNew;
    }
    this.companions = [...this.companions, companion];
    companion.add(this);
    const [oldest] = this.companions;
    if (oldest !== undefined && this.companions.length > COMPANION_COUNT) this.drop(oldest);
  }

  private drop(companion: Companion): void {
    companion.remove(this);
    this.companions = this.companions.filter((other) => other !== companion);
    this.witnesses.delete(companion);
  }
}
