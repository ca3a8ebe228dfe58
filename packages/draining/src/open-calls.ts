/**
 * The calls in progress at a process, of every kind, from the receipt of their head until their
 * response has been sent or their connection has closed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

/** A call in progress. */
export interface OpenCall {
  /** Notes that the call has ended. */
  end(): void;
}

/** Counts the calls in progress. */
export class OpenCalls {
  private readonly kinds = new Map<string, number>();
  private readonly waiters = new Set<() => void>();
  private openCount = 0;
  private isStopping = false;

  /** Number of calls in progress. */
  get count(): number {
    return this.openCount;
  }

  /** Number of calls in progress of each kind, as `kind=number`, for the log. */
  get byKind(): readonly string[] {
    return [...this.kinds].map(([kind, count]) => `${kind}=${count}`);
  }

  /** Whether the process stops, so that connections are not kept open for further calls. */
  get closesConnections(): boolean {
    return this.isStopping;
  }

  /** Notes that the process stops. */
  stop(): void {
    this.isStopping = true;
  }

  /** Notes that a call has begun. */
  begin(kind: string): OpenCall {
    this.add(kind, 1);
    let isOpen = true;
    return {
      end: () => {
        if (!isOpen) return;
        isOpen = false;
        this.add(kind, -1);
        if (this.openCount === 0) for (const release of [...this.waiters]) release();
      },
    };
  }

  /** Resolves as soon as no call is in progress, at the latest after `timeoutMs`. */
  waitUntilNone(timeoutMs: number): Promise<void> {
    if (this.openCount === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const release = (): void => {
        clearTimeout(timer);
        this.waiters.delete(release);
        resolve();
      };
      const timer = setTimeout(release, Math.max(0, timeoutMs));
      this.waiters.add(release);
    });
  }

  private add(kind: string, change: 1 | -1): void {
    this.openCount += change;
    const count = (this.kinds.get(kind) ?? 0) + change;
    if (count === 0) this.kinds.delete(kind);
    else this.kinds.set(kind, count);
  }
}

/**
 * Counts the calls of a server, whatever handles them; `kindOf` names their kind from their head. Once
 * the process stops, the responses to new calls close their connections.
 */
export function trackCalls(
  server: Server,
  openCalls: OpenCalls,
  kindOf: (request: IncomingMessage) => string,
): void {
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const call = openCalls.begin(kindOf(request));
    if (openCalls.closesConnections) response.shouldKeepAlive = false;
    response.once('close', () => {
      call.end();
    });
  });
}
