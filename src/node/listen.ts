/** Binds a server to an address. */

import type { Server } from 'node:http';

/**
 * @param server the server
 * @param address IP and port
 */
export function listen(server: Server, address: string): void {
  const [host, port] = address.split(':');
  server.listen(Number(port), host);
}
