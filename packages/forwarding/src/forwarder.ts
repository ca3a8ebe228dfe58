/**
 * Forwards the requests of one entry; they share a queue for endpoints.
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

  /** Requests that wait for an endpoint. */
  get waitingCount(): number {
    return this.queue.length;
  }

  /** Carries a request to its end. */
  run(task: ForwardTask): Promise<ForwardEnd> {
    return new ForwardedRequest(this.options, this.queue, task).run();
  }
}
