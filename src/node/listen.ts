/** Binds a server to an address, or reports why it cannot. */

import type { Server } from 'node:http';

/** Exit code when an address cannot be bound. */
const EXIT_BIND_FAILED = 1;

/**
 * @param server the server
 * @param address IP and port
 * @param onFailure called with a message when the address cannot be bound; by default ends the process
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
  process.exit(EXIT_BIND_FAILED);
}
