/**
 * Reuses connections between calls. A connection can fall silent without an error, and those that are open at the
 * same time often do so together. After a call without an answer, no connection of before is used again.
 */

import { Agent } from 'node:http';
import { exchangeJson } from './exchangeJson';
import type { JsonRequest, JsonResult } from './exchangeJson';
import type { ReplyMemory } from '../../replies/createReplyMemory';

export interface ConnectionPool {
  /** Sends one request on an idle connection, or on a new one. */
  readonly exchange: (request: Omit<JsonRequest, 'agent'>) => Promise<JsonResult>;
}

export interface ConnectionPoolOptions {
  /** Most idle connections that are kept. */
  readonly maxIdle?: number;
  /** Memory of all replies of the VM. */
  readonly memory?: ReplyMemory | undefined;
}

const createAgent = (maxIdle: number): Agent =>
  new Agent({ keepAlive: true, maxFreeSockets: maxIdle });

/** Creates a pool without connections. */
export function createConnectionPool({
  maxIdle = 4,
  memory,
}: ConnectionPoolOptions = {}): ConnectionPool {
  let agent = createAgent(maxIdle);
  const renew = (): void => {
    // Calls that are still running keep their connections until they end.
    agent.maxFreeSockets = 0;
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
    agent = createAgent(maxIdle);
  };
  return {
    exchange: async (request) => {
      const used = agent;
      const result = await exchangeJson({ memory, ...request, agent: used });
      if (result.type === 'silent' && used === agent) renew();
      return result;
    },
  };
}
