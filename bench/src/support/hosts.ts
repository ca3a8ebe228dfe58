/**
 * Starts and controls the processes that run the stand-in engines of a benchmark.
 */
import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { EngineTimes } from '@shedline/stand-ins';
import { FLEET_TOKENS } from '@shedline/test-utils';
import type { HostRequest, HostStats } from './engine-host.js';

/** Options of {@link EngineHosts.start}. */
export interface EngineHostsOptions {
  readonly engines: number;
  readonly hosts?: number;
  readonly entryUrls: readonly string[];
  readonly zones?: readonly string[];
  readonly times: EngineTimes;
  readonly capacity?: number;
  readonly cacheBlocks?: number;
  readonly announceIntervalMs?: number;
}

/** Stand-in engines distributed over several host processes. */
export class EngineHosts {
  readonly urls: string[] = [];
  private readonly children: ChildProcess[] = [];
  private readonly perHost: number;

  private constructor(perHost: number) {
    this.perHost = perHost;
  }

  /** Starts the processes and their engines. */
  static async start(options: EngineHostsOptions): Promise<EngineHosts> {
    const hostCount = options.hosts ?? 1;
    const hosts = new EngineHosts(Math.ceil(options.engines / hostCount));
    for (let host = 0; host < hostCount; host += 1) {
      const child = fork(fileURLToPath(new URL('./engine-host.js', import.meta.url)));
      hosts.children.push(child);
      const count = Math.min(hosts.perHost, options.engines - host * hosts.perHost);
      const urls = await enqueueRequest(child, {
        type: 'start',
        count,
        firstNumber: host * hosts.perHost,
        zones: options.zones ?? ['zone-1'],
        entryUrls: options.entryUrls,
        token: FLEET_TOKENS.endpoint,
        times: options.times,
        capacity: options.capacity ?? 32,
        cacheBlocks: options.cacheBlocks ?? 4096,
        announceIntervalMs: options.announceIntervalMs ?? 1000,
      });
      hosts.urls.push(...(urls as string[]));
    }
    return hosts;
  }

  /** Crashes one engine, or announces that it is draining. */
  async stopEngine(type: 'die' | 'leave', number: number): Promise<void> {
    const child = this.children[Math.floor(number / this.perHost)];
    if (child !== undefined) await enqueueRequest(child, { type, number });
  }

  /** Totals over all engines. */
  async stats(): Promise<HostStats> {
    const all = (await Promise.all(
      this.children.map((child) => enqueueRequest(child, { type: 'stats' })),
    )) as HostStats[];
    const sum = (pick: (stats: HostStats) => number): number =>
      all.reduce((total, stats) => total + pick(stats), 0);
    return {
      promptTokens: sum((s) => s.promptTokens),
      cachedTokens: sum((s) => s.cachedTokens),
      generatedTokens: sum((s) => s.generatedTokens),
      running: sum((s) => s.running),
      sends: sum((s) => s.sends),
      repeatedSends: sum((s) => s.repeatedSends),
    };
  }

  /** Kills all host processes. */
  close(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}

const pendingRequests = new Map<ChildProcess, Promise<unknown>>();

/** Sends requests to a process one at a time, because replies carry no request id. */
function enqueueRequest(child: ChildProcess, request: HostRequest): Promise<unknown> {
  const previous = pendingRequests.get(child) ?? Promise.resolve();
  const reply = previous.then(() => sendRequest(child, request));
  pendingRequests.set(child, reply);
  return reply;
}

function sendRequest(child: ChildProcess, request: HostRequest): Promise<unknown> {
  return new Promise((resolve) => {
    child.once('message', (message: { value?: unknown }) => {
      resolve(message.value);
    });
    child.send(request);
  });
}
