/** Loopback addresses for servers and processes. */

import { createServer } from 'node:net';

const HOST = '127.0.0.1';

/** Binds a server to a free port. */
export function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(`${HOST}:${server.address().port}`));
  });
}

/** Finds addresses that were free a moment ago, all different. */
export async function findFreeAddresses(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(servers.map(listen));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return addresses;
}
