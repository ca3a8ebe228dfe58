/**
 * Announces a stand-in to the entries, as endpoints do: to any one that answers.
 */
import type { Announcement } from '@shedline/types';

/** Options of {@link Announcer}. */
export interface AnnouncerOptions {
  readonly entryUrls: readonly string[];
  readonly token: string;
  readonly intervalMs: number;
  readonly describe: () => Announcement;
}

const REQUEST_TIMEOUT_MS = 1000;

/** Sends heartbeats. */
export class Announcer {
  private readonly options: AnnouncerOptions;
  private timer: NodeJS.Timeout | undefined;
  private entryIndex = 0;

  constructor(options: AnnouncerOptions) {
    this.options = options;
  }

  /** Begins. */
  start(): void {
    void this.announce();
    this.timer = setInterval(() => {
      void this.announce();
    }, this.options.intervalMs);
  }

  /** Ends without a word, as a lost endpoint does. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends one heartbeat now; true where an entry took it. */
  async announce(): Promise<boolean> {
    const { entryUrls, token, describe } = this.options;
    const body = JSON.stringify(describe());
    const first = this.entryIndex % Math.max(1, entryUrls.length);
    for (const url of [...entryUrls.slice(first), ...entryUrls.slice(0, first)]) {
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
