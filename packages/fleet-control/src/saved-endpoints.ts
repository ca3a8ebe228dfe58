/**
 * Persists the known endpoints of a control process across restarts, so that after a power loss of
 * the whole fleet callers are served before every endpoint has sent a heartbeat again. A restored
 * heartbeat counts as one heartbeat interval old, so an endpoint that has stopped expires soon. A
 * request that reaches another incarnation at the same address is refused by that incarnation.
 */
import { UNKNOWN_START_MS, runIdOf } from '@shedline/fleet';
import type { EndpointHeartbeat, EndpointRegistry } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import { NodeFileSystem } from '@shedline/storage';

const FILE = 'endpoints.json';
/** Half of the default interval of endpoint heartbeats. */
const SAVE_INTERVAL_MS = 600;

/** A heartbeat as stored in the file. */
type SavedHeartbeat = Omit<EndpointHeartbeat, 'startedAtMs'> & { readonly startedAtMs?: number };

/** Options of {@link SavedEndpoints}. */
export interface SavedEndpointsOptions {
  readonly dataDir: string;
  readonly registry: EndpointRegistry;
  readonly heartbeatMs: number;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/**
 * The file with the known endpoints. It is synced, because it is needed most after a power loss; it
 * is written only when an endpoint is added or removed.
 */
export class SavedEndpoints {
  private readonly options: SavedEndpointsOptions;
  private readonly files: NodeFileSystem;
  private savedRunIds = '';
  private isSaving = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: SavedEndpointsOptions) {
    this.options = options;
    this.files = new NodeFileSystem(options.dataDir);
  }

  /** Restores the endpoints that the previous process saved, and returns their heartbeats. */
  async restore(): Promise<readonly EndpointHeartbeat[]> {
    const { registry, heartbeatMs, logger, nowMs } = this.options;
    const heartbeats = await this.read();
    for (const heartbeat of heartbeats) registry.record(heartbeat, heartbeatMs, nowMs());
    logger.info('restored saved endpoints', { step: 'start', endpoints: heartbeats.length });
    return heartbeats;
  }

  /** Starts to save periodically. */
  start(): void {
    this.timer = setInterval(() => void this.save(), SAVE_INTERVAL_MS);
  }

  /** Stops saving periodically. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Writes the endpoints if some were added or removed since the last save. */
  async save(): Promise<void> {
    const { registry, logger, nowMs } = this.options;
    const { heartbeats } = registry.since('', 0, nowMs());
    const runIds = heartbeats.map(({ heartbeat }) => runIdOf(heartbeat)).join();
    if (runIds === this.savedRunIds || this.isSaving) return;
    this.isSaving = true;
    try {
      const text = JSON.stringify(heartbeats.map(({ heartbeat }) => heartbeat));
      await this.files.replace(FILE, Buffer.from(text));
      this.savedRunIds = runIds;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.info('could not save endpoints', { step: 'save endpoints', peer: FILE, reason });
    } finally {
      this.isSaving = false;
    }
  }

  private async read(): Promise<EndpointHeartbeat[]> {
    try {
      const parsed: unknown = JSON.parse((await this.files.read(FILE)).toString());
      if (!Array.isArray(parsed)) throw new Error('not a list');
      return parsed.filter(isHeartbeat).map(withStartTime);
    } catch (error) {
      // The file was torn by a power loss or never written: endpoints will send heartbeats.
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.info('no saved endpoints to restore', {
        step: 'start',
        peer: FILE,
        reason,
      });
      return [];
    }
  }
}

/** Adds the start time that earlier versions did not save. */
function withStartTime(saved: SavedHeartbeat): EndpointHeartbeat {
  return { ...saved, startedAtMs: saved.startedAtMs ?? UNKNOWN_START_MS };
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
