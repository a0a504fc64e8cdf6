/** A caller that sends one request after the other on connections that it keeps. */

import { Agent, request as open } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const PAUSE_MS = 20;

/**
 * @param options.next returns the next request
 * @param options.onEnd called with the request, its status (0 without a whole answer), whether the caller has left at
 *   its deadline, and whether its connection had carried an earlier request
 */
export function startKeptCaller({ address, next, onEnd }) {
  const [hostname, port] = address.split(':');
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let isStopped = false;
  const send = ({ id, path, host, key, deadlineMs, body }) =>
    new Promise((resolve) => {
      const outgoing = open({
        agent,
        host: hostname,
        port: Number(port),
        method: 'POST',
        path,
        headers: {
          host,
          authorization: `Bearer ${key}`,
          'x-request-id': id,
          'x-deadline-remaining': String(deadlineMs),
        },
      });
      let hasLeft = false;
      const deadline = setTimeout(() => {
        hasLeft = true;
        outgoing.destroy();
      }, deadlineMs);
      const finish = (status) => {
        clearTimeout(deadline);
        resolve({ status, hasLeft, wasKept: outgoing.reusedSocket });
      };
      outgoing.on('error', () => finish(0));
      outgoing.on('response', (reply) => {
        reply.resume();
        reply.on('error', () => finish(0));
        reply.on('end', () => finish(reply.complete ? reply.statusCode : 0));
      });
      outgoing.end(body);
    });
  const loop = async () => {
    while (!isStopped) {
      const request = next();
      onEnd({ request, ...(await send(request)) });
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  };
  const ended = loop();
  return {
    stop: () => {
      isStopped = true;
      return ended;
    },
  };
}
