/**
 * Connections to endpoints. An open connection may have become unresponsive without a reset, which
 * is detected only when a request on it is lost. A request that may not be sent again therefore
 * gets a new connection, and other requests reuse a connection only if it received bytes a short
 * time before.
 */
import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { BatchedReads, connectorWithin } from '@shedline/http-connector';

/**
 * Maximum time to open a connection. An endpoint without power never accepts one; with this limit
 * another endpoint can still respond within the usual target of 300 ms. The round trip between
 * zones takes 2 ms, and a lost packet is retransmitted only after a second.
 */
export const CONNECT_TIMEOUT_MS = 180;
/**
 * Idle time after which a connection is not reused. With 4 s and without single-use connections, 8
 * of 16 requests were lost after 8 idle connections had become unresponsive; with this value none
 * are. With 4 s in a fleet of 4 entries and 5 endpoints, a share of only 0.25 to 0.40 of the
 * requests in the 3 s after such a failure succeeded (over 4 seeds). Opening a
 * connection takes one round trip of 0.2 to 2 ms; requests take 20 ms or more.
 */
const KEEP_ALIVE_MS = 300;
/**
 * Minimum time between two reads of a batch response. An item has an event every 28 ms, and nothing
 * waits for it before the item ends; the end is noticed at most this much later.
 */
const BATCH_READ_INTERVAL_MS = 100;
/** Maximum number of connections in each pool of an endpoint. */
const MAX_CONNECTIONS = 64;

interface EndpointPools {
  /** Connections that are kept alive for further requests. */
  readonly reusable: Pool;
  /** Connections that close after one request. */
  readonly singleUse: Pool;
  /** Reusable connections for batch work. */
  readonly batch: Pool;
  readonly batchedReads: BatchedReads;
}

/**
 * Which connection a request needs: `reusable` if it may be sent again, `singleUse` if not, `batch`
 * if nothing waits for the parts of its response either.
 */
export type ConnectionUse = 'reusable' | 'singleUse' | 'batch';

/** The connections of one process to all endpoints. */
export class EndpointConnections {
  private readonly pools = new Map<string, EndpointPools>();

  /** Starts a request to the endpoint at `host:port`. */
  dispatch(
    address: string,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    use: ConnectionUse,
  ): void {
    const pools = this.poolsFor(address);
    pools[use].dispatch(use === 'singleUse' ? { ...options, reset: true } : options, handler);
  }

  /** Reads what has arrived on the batch connections to an endpoint. */
  readBatches(address: string): void {
    this.pools.get(address)?.batchedReads.readNow();
  }

  /** Closes the connections to an endpoint; requests in progress continue to their end. */
  closeConnectionsTo(address: string): void {
    const pools = this.pools.get(address);
    this.pools.delete(address);
    // Nothing waits for the connections to close, so a failure to close is not reported.
    for (const pool of allOf(pools)) pool.close().catch(() => undefined);
  }

  /** Addresses that have connection pools. */
  get addresses(): string[] {
    return [...this.pools.keys()];
  }

  /** Closes all connections at once, including those with requests in progress. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()].flatMap(allOf);
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private poolsFor(address: string): EndpointPools {
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const batchedReads = new BatchedReads(BATCH_READ_INTERVAL_MS);
    const created = {
      reusable: createPool(address),
      singleUse: createPool(address),
      batch: createPool(address, batchedReads),
      batchedReads,
    };
    this.pools.set(address, created);
    return created;
  }
}

function allOf(pools: EndpointPools | undefined): Pool[] {
  return pools === undefined ? [] : [pools.reusable, pools.singleUse, pools.batch];
}

function createPool(address: string, batchedReads?: BatchedReads): Pool {
  return new Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    // Endpoints allow seconds in their Keep-Alive response headers, which would override the limit
    // above.
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connect: connectorWithin(CONNECT_TIMEOUT_MS, batchedReads),
  });
}
