/**
 * Processes of stand-in engines, as the benchmarks use them.
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

/** Engines spread over a few processes. */
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
      const urls = await ask(child, {
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

  /** Kills one engine, or lets it leave. */
  async tell(type: 'die' | 'leave', number: number): Promise<void> {
    const child = this.children[Math.floor(number / this.perHost)];
    if (child !== undefined) await ask(child, { type, number });
  }

  /** Totals over all engines. */
  async stats(): Promise<HostStats> {
    const all = (await Promise.all(
      this.children.map((child) => ask(child, { type: 'stats' })),
    )) as HostStats[];
    const sum = (pick: (stats: HostStats) => number): number =>
      all.reduce((total, one) => total + pick(one), 0);
    return {
      promptTokens: sum((s) => s.promptTokens),
      cachedTokens: sum((s) => s.cachedTokens),
      generatedTokens: sum((s) => s.generatedTokens),
      running: sum((s) => s.running),
      sends: sum((s) => s.sends),
      repeatedSends: sum((s) => s.repeatedSends),
    };
  }

  /** Ends all processes. */
  close(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}

const underWay = new Map<ChildProcess, Promise<unknown>>();

/** Asks one thing after another: answers carry no name of their question. */
function ask(child: ChildProcess, request: HostRequest): Promise<unknown> {
  const before = underWay.get(child) ?? Promise.resolve();
  const answer = before.then(() => askNow(child, request));
  underWay.set(child, answer);
  return answer;
}

function askNow(child: ChildProcess, request: HostRequest): Promise<unknown> {
  return new Promise((resolve) => {
    child.once('message', (message: { value?: unknown }) => {
      resolve(message.value);
    });
    child.send(request);
  });
}
