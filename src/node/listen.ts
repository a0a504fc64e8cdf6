/**
 * Binds a server to an address. Where that fails, it is tried again: the address may still be held by a process that
 * is ending, or not be assigned to the VM yet. A server that has an error goes on with the connections that it has.
 */

import type { Server } from 'node:http';

export interface ListenOptions {
  /** Called with a message for each error. */
  readonly onFailure: (message: string) => void;
  /** Time from a failed attempt to the next one, milliseconds. */
  readonly retryMs?: number;
}

const DEFAULT_RETRY_MS = 500;

/**
 * @param server the server
 * @param address IP and port
 */
export function listen(
  server: Server,
  address: string,
  { onFailure, retryMs = DEFAULT_RETRY_MS }: ListenOptions,
): void {
  const [host, port] = address.split(':');
  let isClosed = false;
  const bind = (): void => {
    if (!isClosed) server.listen(Number(port), host);
  };
  server.on('close', () => {
    isClosed = true;
  });
  server.on('error', (error) => {
    if (server.listening) {
      onFailure(`Cannot accept a connection on ${address}: ${error.message}`);
      return;
    }
    onFailure(`Cannot listen on ${address}: ${error.message}`);
    setTimeout(bind, retryMs);
  });
  bind();
}
