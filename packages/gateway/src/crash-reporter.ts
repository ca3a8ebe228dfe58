/**
 * Reports features of requests during which endpoints crashed to the fleet's record, and requests
 * trials from it.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GroupCaller } from '@shedline/control-client';
import { FLEET_GROUP } from '@shedline/fleet-control';
import type { FleetAnswer } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { BeginTrial, FeatureCrash, FeatureTrial, RecordCrashes } from '@shedline/quarantine';

/**
 * Time for which reports are collected into one command: all requests at a crashed endpoint break
 * within ms.
 */
const BATCH_WINDOW_MS = 10;
const CALL_TIMEOUT_MS = 1000;
const RETRY_PAUSE_MS = 100;
/** Time after which a report is dropped; without a leader for that long the fleet is down. */
const GIVE_UP_MS = 30_000;
/** Maximum reports of either kind in one command; the rest is sent in the next one. */
const MAX_PER_COMMAND = 256;
/**
 * Maximum pending reports of either kind; if the whole fleet stops at once, further reports are no
 * evidence.
 */
const MAX_PENDING = 1024;

/** Options of {@link CrashReporter}. */
export interface CrashReporterOptions {
  /** Calls the leader of the fleet group. */
  readonly fleet: GroupCaller;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Sends the reports, one command at a time. */
export class CrashReporter {
  private readonly options: CrashReporterOptions;
  private crashed: FeatureCrash[] = [];
  private survived: string[] = [];
  private sending: Promise<void> | undefined;
  private isClosed = false;

  constructor(options: CrashReporterOptions) {
    this.options = options;
  }

  /** Reports a crash of an endpoint while it processed a request with a feature. */
  reportCrash(crash: FeatureCrash): void {
    const { contentKey, endpointId } = crash;
    const isPending = this.crashed.some(
      (other) => other.contentKey === contentKey && other.endpointId === endpointId,
    );
    if (isPending || !this.canQueue(this.crashed)) return;
    this.crashed.push(crash);
    this.startSending();
  }

  /** Reports that an endpoint processed a request with a suspected feature without crashing. */
  reportSurvival(featureKey: string): void {
    if (!this.canQueue(this.survived)) return;
    this.survived.push(featureKey);
    this.startSending();
  }

  /** Requests permission for a trial request with quarantined features. */
  async beginTrial([first, ...further]: readonly [
    FeatureTrial,
    ...FeatureTrial[],
  ]): Promise<boolean> {
    const command: BeginTrial = { type: 'beginTrial', ...first, further };
    try {
      const { outcome } = await this.propose(command);
      return outcome === 'stored';
    } catch (error) {
      this.logFailure('trial request not permitted', error);
      return false;
    }
  }

  /** Abandons the reports that are not recorded yet. */
  close(): void {
    this.isClosed = true;
  }

  private canQueue(pending: readonly unknown[]): boolean {
    if (pending.length < MAX_PENDING) return true;
    this.options.logger.info('crash report dropped', { step: 'hold', reason: 'too many wait' });
    return false;
  }

  private startSending(): void {
    this.sending ??= this.sendAll().finally(() => {
      this.sending = undefined;
    });
  }

  private async sendAll(): Promise<void> {
    await pause(BATCH_WINDOW_MS);
    while (this.crashed.length + this.survived.length > 0) {
      const crashed = this.crashed.splice(0, MAX_PER_COMMAND);
      const survived = this.survived.splice(0, MAX_PER_COMMAND);
      await this.sendUntilRecorded({ type: 'recordCrashes', crashed, survived });
    }
  }

  private async sendUntilRecorded(command: RecordCrashes): Promise<void> {
    const giveUpAtMs = this.options.nowMs() + GIVE_UP_MS;
    while (!this.isClosed && this.options.nowMs() < giveUpAtMs) {
      try {
        await this.propose(command);
        return;
      } catch (error) {
        this.logFailure('endpoint crashes not recorded yet', error);
        await pause(RETRY_PAUSE_MS);
      }
    }
    const reason = this.isClosed ? 'closed' : 'no leader';
    this.options.logger.info('endpoint crash reports dropped', { step: 'hold', reason });
  }

  private async propose(command: RecordCrashes | BeginTrial): Promise<FleetAnswer> {
    const { fleet } = this.options;
    return (await fleet.call('fleetPropose', FLEET_GROUP, command, CALL_TIMEOUT_MS)) as FleetAnswer;
  }

  private logFailure(message: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.info(message, { step: 'hold', reason });
  }
}
