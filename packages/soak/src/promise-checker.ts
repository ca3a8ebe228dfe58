/**
 * Checks the promises of the system: records what callers, operators and endpoints observe and
 * reports violations. Of the faults it only knows whether a span of time was undisturbed.
 */
import { CrashingContents } from './crashing-contents.js';
import {
  POISON_PREFIX,
  completeTextOf,
  softwareVersionsOf,
  withoutVersions,
} from './expected-response.js';
import type { TargetFilter } from './fault-plan.js';

/** Whether and how a request may be retried. */
export type RequestKind = 'resumable' | 'once' | 'repeatable';

/** Outcome of a request for its caller. */
export type RequestOutcome =
  | { readonly kind: 'complete'; readonly text: string }
  /** The request was refused without being run. */
  | { readonly kind: 'refused'; readonly status: number }
  /** The request failed; it may have been run. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The response broke off after `text`. */
  | { readonly kind: 'cut'; readonly reason: string; readonly text: string }
  /** The caller disconnected after `text`. */
  | { readonly kind: 'left'; readonly text: string };

/** A violated promise. */
export interface PromiseViolation {
  readonly promise: string;
  readonly atMs: number;
  readonly detail: string;
}

/** A result in the list of a job. */
export interface ListedResult {
  readonly itemId: string;
  readonly state: string;
  readonly text: string;
}

/** A request that a caller sends. */
export interface SentRequest {
  readonly entry: string;
  readonly kind: RequestKind;
  readonly atMs: number;
  /** Content of the request, or the part of its prompt, that crashes endpoints. */
  readonly crashingContent?: string;
  /** Time after which a response may be cut because it lasts too long; never if omitted. */
  readonly limitMs?: number;
  /** The stream that the request continues, and what its caller has of it. */
  readonly continues?: BegunStream;
}

/** A stream that broke off, or whose caller left. */
export interface BegunStream {
  /** Id of the attempt that brought its first event. */
  readonly requestId: string;
  readonly text: string;
}

/** Whether an entry applies a configuration or a later one. */
export interface ConfigurationCheck {
  readonly entry: string;
  readonly version: number;
  readonly isApplied: boolean;
}

/** Options of {@link PromiseChecker}. */
export interface PromiseCheckerOptions {
  /** Whether no relevant unplanned fault was in effect during or shortly before a span of time. */
  readonly isUndisturbed: (fromMs: number, untilMs: number, isRelevant: TargetFilter) => boolean;
}

/** Time within which an acknowledged leave takes effect. */
const LEAVE_EFFECTIVE_WITHIN_MS = 2500;
/** Time within which no item of a cancelled job is started any more. */
const CANCEL_WITHIN_MS = 3000;

/**
 * Promises with a time limit, which an overloaded machine alone can violate. All others hold at any
 * speed.
 */
export const TIMED_PROMISES: ReadonlySet<string> = new Set([
  'nothing is cut in calm',
  'leaving endpoints get no work',
  'ended jobs stop',
  'what ends endpoints is held back',
  'sound requests with common parts are served',
  'service comes back',
  'accepted items complete',
  'configurations are readable',
  'configurations come into force',
]);

interface RequestRecord {
  /** Entry that the caller sent it to. */
  readonly entry: string;
  readonly kind: RequestKind;
  readonly sentAtMs: number;
  outcome?: RequestOutcome;
  endedAtMs?: number;
  readonly ranAtMs: number[];
  readonly crashingContent: string | undefined;
  readonly limitMs: number | undefined;
  readonly continues: BegunStream | undefined;
}

interface JobRecord {
  readonly itemIds: readonly string[];
  readonly listed: Map<number, ListedResult>;
  /** Whether cancellation was requested; the job may be cancelled without an acknowledgement. */
  isCancelRequested: boolean;
  /** Time at which the cancellation was acknowledged; undefined if it was not. */
  cancelledAtMs: number | undefined;
}

/** Records the observations of one run and checks them. */
export class PromiseChecker {
  readonly violations: PromiseViolation[] = [];
  readonly counts = new Map<string, number>();
  private readonly options: PromiseCheckerOptions;
  private readonly requests = new Map<string, RequestRecord>();
  private readonly jobs = new Map<string, JobRecord>();
  private readonly jobOfItem = new Map<string, string>();
  private readonly leftAtMs = new Map<string, number>();
  private readonly acknowledged: { version: number; atMs: number }[] = [];
  private readonly appliedVersions = new Map<string, number>();
  private readonly contents = new Map<number, string>();
  private readonly crashingContents = new CrashingContents();

  constructor(options: PromiseCheckerOptions) {
    this.options = options;
  }

  /** Records that a caller sends a request. */
  requestSent(requestId: string, request: SentRequest): void {
    const { entry, kind, atMs, crashingContent, limitMs, continues } = request;
    const sent = { entry, kind, sentAtMs: atMs, crashingContent, limitMs, continues };
    this.requests.set(requestId, { ...sent, ranAtMs: [] });
    if (continues !== undefined) this.count('streams continued');
  }

  /** Records the outcome of a request for its caller. */
  requestEnded(requestId: string, outcome: RequestOutcome, atMs: number): void {
    const record = this.requests.get(requestId);
    if (record === undefined) return;
    record.outcome = outcome;
    record.endedAtMs = atMs;
    this.count(`requests ${outcome.kind}`);
    if (record.continues !== undefined) this.count(`streams continued, ${outcome.kind}`);
    if ('text' in outcome) this.checkText(requestId, record, outcome, atMs);
    const hasRun = record.ranAtMs.length > 0;
    const isBroken = outcome.kind === 'cut' || (outcome.kind === 'failed' && outcome.status >= 500);
    const isRelevant: TargetFilter = (target) =>
      target === record.entry || target.startsWith('endpoint');
    const isUndisturbed = !this.crashingContents.hasCrashBetween(record.sentAtMs, atMs);
    const isAtLimit = atMs - record.sentAtMs >= (record.limitMs ?? Infinity);
    if (
      isBroken &&
      !isAtLimit &&
      hasRun &&
      isUndisturbed &&
      this.options.isUndisturbed(record.sentAtMs, atMs, isRelevant)
    ) {
      this.addViolation('nothing is cut in calm', atMs, `${requestId} ${JSON.stringify(outcome)}`);
    }
  }

  /** Checks what a caller has of a stream over all of its attempts, also if it is not complete. */
  private checkText(
    requestId: string,
    { continues }: RequestRecord,
    { kind, text }: RequestOutcome & { readonly text: string },
    atMs: number,
  ): void {
    const whole = [continues?.text ?? '', text].filter((part) => part !== '').join('\n');
    const expected = completeTextOf(continues?.requestId ?? requestId);
    const plain = withoutVersions(whole);
    if (kind === 'complete' ? plain !== expected : !expected.startsWith(plain)) {
      this.addViolation('whole own answers', atMs, `${requestId} got ${whole.slice(0, 80)}`);
    }
    this.checkVersions(requestId, whole, atMs);
  }

  private checkVersions(id: string, text: string, atMs: number): void {
    const versions = [...softwareVersionsOf(text)];
    if (versions.length < 2) return;
    this.addViolation('a stream has one software version', atMs, `${id}: ${versions.join(', ')}`);
  }

  /**
   * Share of the requests sent in a span of time that completed within a limit; 1 if none was sent.
   */
  servedShare(
    { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number },
    withinMs: number,
  ): number {
    const sent = [...this.requests.values()].filter(
      ({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < untilMs,
    );
    const served = sent.filter(
      ({ outcome, endedAtMs = Infinity, sentAtMs }) =>
        outcome?.kind === 'complete' && endedAtMs - sentAtMs <= withinMs,
    );
    return sent.length === 0 ? 1 : served.length / sent.length;
  }

  /** Records that an endpoint starts to run a request or an item. */
  requestRan(requestId: string, endpointId: string, atMs: number): void {
    this.count('runs');
    const record = this.requests.get(requestId);
    const leftAtMs = this.leftAtMs.get(endpointId);
    const isLate = leftAtMs !== undefined && atMs > leftAtMs + LEAVE_EFFECTIVE_WITHIN_MS;
    const sender = record?.entry ?? 'entry';
    const isRelevant: TargetFilter = (target) =>
      target.startsWith(sender) || target.startsWith('control');
    if (isLate && this.options.isUndisturbed(leftAtMs, atMs, isRelevant)) {
      this.addViolation('leaving endpoints get no work', atMs, `${requestId} at ${endpointId}`);
    }
    if (record !== undefined) {
      record.ranAtMs.push(atMs);
      if (record.crashingContent !== undefined)
        this.crashingContentRan(record.crashingContent, atMs);
      return;
    }
    this.itemRan(requestId, atMs);
  }

  /** Records that a content crashed an endpoint. */
  endpointCrashed(crashingContent: string, atMs: number): void {
    this.count('endpoints ended under a content');
    this.crashingContents.recordCrash(crashingContent, atMs);
  }

  /** Records that the leave of an endpoint was acknowledged. */
  endpointLeft(endpointId: string, atMs: number): void {
    if (!this.leftAtMs.has(endpointId)) this.leftAtMs.set(endpointId, atMs);
  }

  /** Records that an invalid heartbeat was accepted. */
  invalidHeartbeatAccepted(detail: string, atMs: number): void {
    this.addViolation('nonsense is refused', atMs, detail);
  }

  /** Records that a configuration was acknowledged. */
  configurationAcknowledged(version: number, atMs: number): void {
    this.count('configurations acknowledged');
    this.acknowledged.push({ version, atMs });
  }

  /** Version of the newest acknowledged configuration; 0 before the first. */
  get newestAcknowledgedConfiguration(): number {
    return Math.max(0, ...this.acknowledged.map(({ version }) => version));
  }

  /** Version of the newest configuration that an entry was seen to apply; 0 before the first. */
  newestAppliedConfiguration(entry: string): number {
    return this.appliedVersions.get(entry) ?? 0;
  }

  /** Records whether an entry applies an acknowledged configuration or a later one. */
  configurationChecked({ entry, version, isApplied }: ConfigurationCheck, atMs: number): void {
    const newestApplied = this.newestAppliedConfiguration(entry);
    if (isApplied) this.appliedVersions.set(entry, Math.max(newestApplied, version));
    if (isApplied || version > newestApplied) return;
    const detail = `${entry} obeys one older than ${version}, and obeyed ${newestApplied} before`;
    this.addViolation('configurations never revert', atMs, detail);
  }

  /** Records a configuration that a control process returned as in force at `requestedAtMs`. */
  configurationRead(version: number, content: string, requestedAtMs: number): void {
    this.count('configurations read');
    const required = this.acknowledged.filter(({ atMs }) => atMs <= requestedAtMs);
    const newest = Math.max(0, ...required.map((change) => change.version));
    if (version < newest) {
      this.addViolation(
        'configurations never revert',
        requestedAtMs,
        `read ${version} after ${newest}`,
      );
    }
    const known = this.contents.get(version);
    this.contents.set(version, known ?? content);
    if (known !== undefined && known !== content) {
      this.addViolation(
        'one content a version',
        requestedAtMs,
        `version ${version} changed its content`,
      );
    }
  }

  /** Records that a job was accepted. */
  jobAccepted(jobId: string, itemIds: readonly string[]): void {
    if (this.jobs.has(jobId)) return;
    this.count('jobs accepted');
    const job = { itemIds, listed: new Map(), isCancelRequested: false, cancelledAtMs: undefined };
    this.jobs.set(jobId, job);
  }

  /** Records to which job the items belong; called before the job is accepted. */
  jobSubmitted(jobId: string, itemIds: readonly string[]): void {
    for (const itemId of itemIds) this.jobOfItem.set(itemId, jobId);
  }

  /** Records that a caller requests the cancellation of a job. */
  jobCancelRequested(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.isCancelRequested = true;
  }

  /** Records that the cancellation of a job was acknowledged. */
  jobCancelled(jobId: string, atMs: number): void {
    this.jobCancelRequested(jobId);
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.cancelledAtMs ??= atMs;
  }

  /** Records that a job was reported as unknown. */
  jobMissing(jobId: string, atMs: number): void {
    if (this.jobs.has(jobId)) this.addViolation('accepted jobs stay readable', atMs, jobId);
  }

  /** Records a result that was read. */
  resultListed(jobId: string, position: number, result: ListedResult, atMs: number): void {
    const job = this.jobs.get(jobId);
    if (job === undefined) return;
    const known = job.listed.get(position);
    if (known !== undefined && (known.itemId !== result.itemId || known.text !== result.text)) {
      this.addViolation('results keep position and content', atMs, `${jobId} at ${position}`);
      return;
    }
    if (known !== undefined) return;
    job.listed.set(position, result);
    this.count('results listed');
    const sameItem = [...job.listed.values()].filter(({ itemId }) => itemId === result.itemId);
    if (sameItem.length > 1) this.addViolation('an item is listed once', atMs, result.itemId);
    if (!job.itemIds.includes(result.itemId)) {
      this.addViolation('a job lists its own items', atMs, `${jobId} lists ${result.itemId}`);
    }
    this.checkResult(result, job, atMs);
  }

  /** Accepted jobs with missing results whose cancellation was not requested. */
  incompleteJobs(): string[] {
    return [...this.jobs]
      .filter(([, job]) => !job.isCancelRequested && job.listed.size < job.itemIds.length)
      .map(([jobId]) => jobId);
  }

  /** Ids of the accepted jobs. */
  get acceptedJobs(): string[] {
    return [...this.jobs.keys()];
  }

  /** Makes the checks that are only possible after the run, and returns all violations. */
  finish(atMs: number): readonly PromiseViolation[] {
    for (const [requestId, record] of this.requests) {
      const runs = record.ranAtMs.length;
      if (record.kind === 'once' && runs > 1) {
        this.addViolation('at most one run', atMs, `${requestId} ran ${runs} times`);
      }
      if (record.outcome?.kind === 'refused' && runs > 0) {
        this.addViolation('refused requests did not run', atMs, `${requestId} ran ${runs} times`);
      }
    }
    for (const jobId of this.incompleteJobs()) {
      this.addViolation('accepted items complete', atMs, `${jobId} misses results`);
    }
    return this.violations;
  }

  /** Adds a violation; called directly for those that only the driver of the run can detect. */
  addViolation(promise: string, atMs: number, detail: string): void {
    this.violations.push({ promise, atMs: Math.round(atMs), detail });
  }

  private crashingContentRan(crashingContent: string, atMs: number): void {
    const isUndisturbed = (fromMs: number): boolean =>
      this.options.isUndisturbed(fromMs, atMs, () => true);
    if (!this.crashingContents.recordRun(crashingContent, atMs, isUndisturbed)) return;
    this.addViolation('what ends endpoints is held back', atMs, crashingContent);
  }

  private itemRan(itemId: string, atMs: number): void {
    const jobId = this.jobOfItem.get(itemId);
    if (jobId === undefined) {
      this.addViolation('only what was asked for runs', atMs, itemId);
      return;
    }
    const cancelledAtMs = this.jobs.get(jobId)?.cancelledAtMs;
    const isLate = cancelledAtMs !== undefined && atMs > cancelledAtMs + CANCEL_WITHIN_MS;
    if (isLate && this.options.isUndisturbed(cancelledAtMs, atMs, () => true)) {
      this.addViolation('ended jobs stop', atMs, `${itemId} of ${jobId}`);
    }
  }

  private checkResult({ itemId, state, text }: ListedResult, job: JobRecord, atMs: number): void {
    const isCorrect = itemId.startsWith(POISON_PREFIX)
      ? state === 'errored'
      : state === 'complete'
        ? withoutVersions(text) === completeTextOf(itemId)
        : job.isCancelRequested;
    if (!isCorrect) {
      this.addViolation('results are whole', atMs, `${itemId} is ${state}: ${text.slice(0, 60)}`);
    }
    this.checkVersions(itemId, text, atMs);
  }

  private count(event: string): void {
    this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
  }
}
