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

  constructor(options: ForwarderOptions) {
    this.options = options;
    this.queue = new EndpointQueue({ finder: options.chooser, nowMs: options.nowMs });
  }

  /** Number of requests that wait for an endpoint. */
  get waitingCount(): number {
    return this.queue.length;
  }

  /** Forwards a request; resolves when it has ended. */
  run(task: ForwardTask): Promise<ForwardEnd> {
    return new ForwardedRequest(this.options, this.queue, task).run();
  }
}
