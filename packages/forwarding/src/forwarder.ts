/**
 * Forwards the requests of one entry, which share one queue for endpoints.
 */
import { EndpointQueue } from './endpoint-queue.js';
import type { ForwardEnd, ForwardTask, ForwarderOptions } from './forward-task.js';
import { ForwardedRequest } from './forwarded-request.js';

/** Forwards requests. */
export class Forwarder {
  private readonly options: ForwarderOptions;
  private readonly queue: EndpointQueue;
  private readonly open = new Set<ForwardedRequest>();

  constructor(options: ForwarderOptions) {
    this.options = options;
    this.queue = new EndpointQueue({ finder: options.chooser, nowMs: options.nowMs });
  }

  /** Number of requests that wait for an endpoint. */
  get waitingCount(): number {
    return this.queue.length;
  }

  /** Forwards a request; resolves when it has ended. */
  async run(task: ForwardTask): Promise<ForwardEnd> {
    const request = new ForwardedRequest(this.options, this.queue, task);
    this.open.add(request);
    try {
      return await request.run();
    } finally {
      this.open.delete(request);
    }
  }

  /**
   * Ends all requests in progress: those that were not sent are refused, those without any part of a
   * response fail, and the others are aborted.
   */
  endAll(): void {
    for (const request of this.open) request.end();
  }
}
