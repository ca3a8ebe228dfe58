/**
 * Interface through which the test talks to a fleet. It is implemented by the package that knows
 * the API of that fleet.
 */
import type { Role, StartupHealth } from './fault-plan.js';
import type { BegunStream, ListedResult, RequestOutcome, RequestKind } from './promise-checker.js';
import type { ProcessSpec, SettingsOptions } from './process-set.js';

/** Number of the newest versions of which a check can determine whether an entry applies them. */
export const DISTINGUISHABLE_VERSIONS = 40;

/** A request of a caller. */
export interface SoakRequest {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly timeoutMs: number;
  /** Content of path and body; the request id if omitted. */
  readonly content?: string;
  /** Ids of the parts of its prompt that other requests share; a part of its own follows. */
  readonly sharedParts?: readonly string[];
  /** The stream to continue after the events of its text. */
  readonly continues?: BegunStream;
  /** Number of events after which the caller disconnects; it reads to the end if omitted. */
  readonly leaveAfterEvents?: number;
}

/** A job of a caller. */
export interface SoakJob {
  readonly jobId: string;
  readonly itemIds: readonly string[];
}

/** Outcome of a job submission. */
export type SubmissionOutcome = 'accepted' | 'refused' | 'unclear';

/** Page of results; `unknown` if the job does not exist, undefined if the read failed. */
export type ResultsReadOutcome =
  { readonly total: number; readonly results: readonly ListedResult[] } | 'unknown' | undefined;

/** An endpoint simulated by the test. */
export interface SoakEndpoint {
  /** Announced id; a later incarnation may have the same. */
  readonly endpointId: string;
  /** Start time in Unix milliseconds; distinguishes the incarnations of one id. */
  readonly startedAtMs: number;
  readonly softwareVersion: string;
  /** Unique name of this incarnation, for the {@link PromiseChecker}. */
  readonly incarnationName: string;
  /** `host:port`. */
  readonly address: string;
  /** Makes the endpoint unresponsive or responsive again. */
  setHanging(isHanging: boolean): void;
  /** Resets all connections and accepts no more. */
  crash(): Promise<void>;
}

/** Options of an endpoint. */
export interface SoakEndpointOptions {
  readonly endpointId: string;
  readonly startedAtMs: number;
  readonly incarnationName: string;
  readonly softwareVersion: string;
  /** Announced IP address; that of the relay if the endpoint is behind one. */
  readonly announcedHost: string;
  /** IP address on which the endpoint listens. */
  readonly host: string;
  readonly port: number;
  /** `prompt` if omitted. */
  readonly startupHealth?: StartupHealth;
  /**
   * Called when the endpoint starts to run a request. `isOwnWorkspace`: whether it runs as the
   * workspace of its caller, and the API key was not forwarded.
   */
  readonly onRun: (requestId: string, isOwnWorkspace: boolean) => void;
  /**
   * Called when a content that begins with `CRASHER_PREFIX`, or a part of a prompt that begins with
   * `CRASHING_PART_PREFIX`, has to crash the endpoint.
   */
  readonly onCrash: (content: string) => void;
}

/** API of a fleet and of its simulated endpoints. */
export interface FleetAdapter {
  readonly settingsVariable: string;
  /** Returns the path of the program of a role. */
  readonly programOf: (role: Role) => string;
  settingsOf(
    spec: ProcessSpec,
    options: SettingsOptions & { readonly seeds: readonly ProcessSpec[] },
  ): object;
  /** Opens a connection that a caller reuses for its requests. */
  openCaller(entry: ProcessSpec): SoakCaller;
  submitJob(entry: ProcessSpec, job: SoakJob): Promise<SubmissionOutcome>;
  readResults(entry: ProcessSpec, jobId: string, position: number): Promise<ResultsReadOutcome>;
  cancelJob(entry: ProcessSpec, jobId: string): Promise<boolean>;
  /**
   * Returns whether it was acknowledged. `variant` selects different content of the same version.
   */
  putConfiguration(control: ProcessSpec, version: number, variant: number): Promise<boolean>;
  /** Returns undefined if the control process could not confirm the configuration in force. */
  readConfiguration(
    control: ProcessSpec,
  ): Promise<{ readonly version: number; readonly content: string } | undefined>;
  /**
   * Whether an entry applies a configuration or a later one; undefined if it applies none yet or
   * sent no response. Only valid for the last {@link DISTINGUISHABLE_VERSIONS} versions.
   */
  appliesConfiguration(entry: ProcessSpec, version: number): Promise<boolean | undefined>;
  /** Sends a heartbeat; returns whether it was acknowledged. */
  heartbeat(control: ProcessSpec, endpoint: SoakEndpoint, isLeaving: boolean): Promise<boolean>;
  /** Sends an invalid heartbeat with the id of an endpoint; returns whether it was accepted. */
  sendInvalidHeartbeat(
    control: ProcessSpec,
    endpoint: SoakEndpoint,
    variant: number,
  ): Promise<boolean>;
  startEndpoint(options: SoakEndpointOptions): Promise<SoakEndpoint>;
}

/** A caller with its connection. */
export interface SoakCaller {
  send(request: SoakRequest): Promise<RequestOutcome>;
  close(): Promise<void>;
}
