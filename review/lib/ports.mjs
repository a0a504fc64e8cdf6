/** Finds free ports on loopback. */

import { createServer } from 'node:net';

export const HOST = '127.0.0.1';

/** @returns ports that were free a moment ago */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, HOST, () => {
            resolve(server);
          });
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Listens on a free port. */
export function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => {
      resolve(`${HOST}:${server.address().port}`);
    });
  });
}
