/** Sends one request on a connection of its own. */

import { request as open } from 'node:http';

/** @returns the status, 0 if the connection ended without a whole answer */
export function send({ address, method = 'POST', host, path, key, id, deadlineMs, body }) {
  return new Promise((resolve) => {
    const [hostname, port] = address.split(':');
    const outgoing = open({
      agent: false,
      host: hostname,
      port: Number(port),
      method,
      path,
      headers: {
        host,
        authorization: `Bearer ${key}`,
        'x-request-id': id,
        'x-deadline-remaining': String(deadlineMs),
      },
    });
    outgoing.setTimeout(deadlineMs, () => outgoing.destroy());
    outgoing.on('error', () => resolve(0));
    outgoing.on('response', (reply) => {
      reply.resume();
      reply.on('error', () => resolve(0));
      reply.on('end', () => resolve(reply.complete ? reply.statusCode : 0));
    });
    outgoing.end(body);
  });
}
