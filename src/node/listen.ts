/** Binds a server to an address, or says clearly why that is not possible. */

import type { Server } from 'node:http';

/** Exit code where an address cannot be bound. */
const BIND_EXIT = 1;

/**
 * @param server the server
 * @param address IP and port
 * @param onFailure called with a message where the address cannot be bound; ends the process by default
 */
export function listen(
  server: Server,
  address: string,
  onFailure: (message: string) => void = endProcess,
): void {
  const [host, port] = address.split(':');
  const fail = (error: Error): void => {
    onFailure(`Cannot listen on ${address}: ${error.message}`);
  };
  server.once('error', fail);
  server.listen(Number(port), host, () => {
    server.off('error', fail);
  });
}

function endProcess(message: string): void {
  process.stderr.write(`${message}\n`);
  process.exit(BIND_EXIT);
}
