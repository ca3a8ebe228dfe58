/**
 * Connections to endpoints. An open connection may have gone silent without a reset, and nothing
 * shows it before a request is lost on it: so a request that may not be sent again gets a connection
 * of its own, and the others take a kept one only where bytes came over it just before.
 */
import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { connectorWithin } from '@shedline/http-connector';

/**
 * Longest time that a connection may take to open; an endpoint without power never answers, and
 * another one may still answer within the usual target of 300 ms. Zones are 2 ms apart there and
 * back, and a lost packet is sent again only after a second.
 */
export const CONNECT_TIMEOUT_MS = 180;
/**
 * Rest after which a connection is not used again. With 4 s, and no connections of their own, 8 of
 * 16 requests were lost after 8 kept connections had gone silent, 0 now; in a fleet of 4 entries and 5
 * endpoints callers were served 0.25 to 0.40 of the requests of the 3 s after, counted over 4 seeds.
 * Opening one takes a round trip, 0.2 to 2 ms, of requests that last 20 ms and more.
 */
const REUSE_WITHIN_MS = 300;
/** Most connections of either kind to one endpoint. */
const MAX_CONNECTIONS = 64;

interface EndpointPools {
  /** Connections that are used again. */
  readonly kept: Pool;
  /** Connections that end with their request. */
  readonly single: Pool;
}

/** Connections of one process to all endpoints. */
export class EndpointConnections {
  private readonly pools = new Map<string, EndpointPools>();

  /** Begins a request at `host:port`. */
  dispatch(
    address: string,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    mayBeRepeated: boolean,
  ): void {
    const { kept, single } = this.poolsOf(address);
    if (mayBeRepeated) kept.dispatch(options, handler);
    else single.dispatch({ ...options, reset: true }, handler);
  }

  /** Closes the connections to an endpoint; requests under way end by themselves. */
  forget(address: string): void {
    const pools = this.pools.get(address);
    this.pools.delete(address);
    // Nobody waits for the connections to close, so there is nobody to tell of a failure either.
    for (const pool of [pools?.kept, pools?.single]) pool?.close().catch(() => undefined);
  }

  /** Addresses with connections. */
  get addresses(): string[] {
    return [...this.pools.keys()];
  }

  /** Breaks all connections. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()].flatMap(({ kept, single }) => [kept, single]);
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private poolsOf(address: string): EndpointPools {
    const known = this.pools.get(address);
    if (known !== undefined) return known;
    const fresh = { kept: createPool(address), single: createPool(address) };
    this.pools.set(address, fresh);
    return fresh;
  }
}

function createPool(address: string): Pool {
  return new Pool(`http://${address}`, {
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: REUSE_WITHIN_MS,
    // Endpoints allow seconds in their answers, which would go before the limit above.
    keepAliveMaxTimeout: REUSE_WITHIN_MS,
    connect: connectorWithin(CONNECT_TIMEOUT_MS),
  });
}
