/**
 * Keeps the endpoints that a control process hears of over a restart of the process: after a
 * loss of all power callers are served before every endpoint has sent a heartbeat again. What is
 * read back counts as one heartbeat old, so an endpoint that is gone is soon forgotten; a
 * request that reaches another run at its address is refused by that.
 */
import { UNKNOWN_START_MS, runIdOf } from '@shedline/fleet';
import type { EndpointHeartbeat, EndpointRegistry } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import { NodeFileSystem } from '@shedline/storage';

const FILE = 'endpoints.json';
/** Half of the time between heartbeats of an endpoint on the users' platform. */
const SAVE_INTERVAL_MS = 600;

/** A heartbeat as it stands in the file. */
type SavedHeartbeat = Omit<EndpointHeartbeat, 'startedAtMs'> & { readonly startedAtMs?: number };

/** Options of {@link EndpointMemory}. */
export interface EndpointMemoryOptions {
  readonly dataDir: string;
  readonly registry: EndpointRegistry;
  readonly heartbeatMs: number;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/**
 * The file with the endpoints heard of. It is synced, since it is needed most after a loss of
 * power; it changes only when an endpoint comes or goes.
 */
export class EndpointMemory {
  private readonly options: EndpointMemoryOptions;
  private readonly files: NodeFileSystem;
  private savedNames = '';
  private isSaving = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: EndpointMemoryOptions) {
    this.options = options;
    this.files = new NodeFileSystem(options.dataDir);
  }

  /** Reads what an earlier run of the process heard. */
  async restore(): Promise<void> {
    const { registry, heartbeatMs, logger, nowMs } = this.options;
    const heartbeats = await this.read();
    for (const heartbeat of heartbeats) registry.hear(heartbeat, heartbeatMs, nowMs());
    logger.info('endpoints of an earlier run', { step: 'start', endpoints: heartbeats.length });
  }

  /** Begins to save. */
  start(): void {
    this.timer = setInterval(() => void this.save(), SAVE_INTERVAL_MS);
  }

  /** Ends. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Writes the endpoints if others came or went since the last time. */
  async save(): Promise<void> {
    const { registry, logger, nowMs } = this.options;
    const { heartbeats } = registry.since('', 0, nowMs());
    const names = heartbeats.map(({ heartbeat }) => runIdOf(heartbeat)).join();
    if (names === this.savedNames || this.isSaving) return;
    this.isSaving = true;
    try {
      const text = JSON.stringify(heartbeats.map(({ heartbeat }) => heartbeat));
      await this.files.replace(FILE, Buffer.from(text));
      this.savedNames = names;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.info('endpoints not saved', { step: 'save endpoints', peer: FILE, reason });
    } finally {
      this.isSaving = false;
    }
  }

  private async read(): Promise<EndpointHeartbeat[]> {
    try {
      const parsed: unknown = JSON.parse((await this.files.read(FILE)).toString());
      if (!Array.isArray(parsed)) throw new Error('not a list');
      return parsed.filter(isHeartbeat).map(withStart);
    } catch (error) {
      // Torn by a loss of power, or never written: endpoints will send heartbeats.
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.info('no endpoints of an earlier run', {
        step: 'start',
        peer: FILE,
        reason,
      });
      return [];
    }
  }
}

/** Earlier programs wrote no start. */
function withStart(heard: SavedHeartbeat): EndpointHeartbeat {
  return { ...heard, startedAtMs: heard.startedAtMs ?? UNKNOWN_START_MS };
}

function isHeartbeat(value: unknown): value is SavedHeartbeat {
  if (typeof value !== 'object' || value === null) return false;
  const { endpointId, startedAtMs, service, address, availabilityZone, slots, sequence } =
    value as Partial<EndpointHeartbeat>;
  return (
    [endpointId, service, address, availabilityZone].every((text) => typeof text === 'string') &&
    [slots, sequence, startedAtMs ?? UNKNOWN_START_MS].every((number) => Number.isInteger(number))
  );
}
