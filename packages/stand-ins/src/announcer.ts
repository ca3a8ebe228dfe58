/**
 * Announces a stand-in endpoint to the first entry that accepts the announcement.
 */
import type { Announcement } from '@shedline/types';

/** Options of {@link Announcer}. */
export interface AnnouncerOptions {
  readonly entryUrls: readonly string[];
  readonly token: string;
  readonly intervalMs: number;
  /** Called for each heartbeat. */
  readonly createAnnouncement: () => Announcement;
}

const REQUEST_TIMEOUT_MS = 1000;

/** Sends periodic heartbeats to one entry, and fails over to the next one on errors. */
export class Announcer {
  private readonly options: AnnouncerOptions;
  private timer: NodeJS.Timeout | undefined;
  private entryIndex = 0;

  constructor(options: AnnouncerOptions) {
    this.options = options;
  }

  /** Sends a heartbeat now and then periodically. */
  start(): void {
    void this.announce();
    this.timer = setInterval(() => {
      void this.announce();
    }, this.options.intervalMs);
  }

  /** Stops sending heartbeats without deregistering, as a crashed endpoint does. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends one heartbeat now; returns whether an entry accepted it. */
  async announce(): Promise<boolean> {
    const { entryUrls, token, createAnnouncement } = this.options;
    const body = JSON.stringify(createAnnouncement());
    const firstIndex = this.entryIndex % Math.max(1, entryUrls.length);
    for (const url of [...entryUrls.slice(firstIndex), ...entryUrls.slice(0, firstIndex)]) {
      if (await this.post(`${url}/v1/endpoints/announce`, token, body)) return true;
      this.entryIndex += 1;
    }
    return false;
  }

  private async post(url: string, token: string, body: string): Promise<boolean> {
    try {
      const response = await fetch(url, {
        method: 'POST',
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        body,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      await response.arrayBuffer();
      return response.ok;
    } catch {
      return false;
    }
  }
}
