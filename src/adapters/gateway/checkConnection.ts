/** Finds out whether a server accepts connections; sends it no request. */

import { connect } from 'node:net';

export type ConnectionCheck = 'accepted' | 'refused' | 'silent';

/**
 * @param address IP and port
 * @param timeoutMs milliseconds
 */
export function checkConnection(address: string, timeoutMs: number): Promise<ConnectionCheck> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const finish = (result: ConnectionCheck): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => {
      finish('silent');
    }, timeoutMs);
    socket.once('connect', () => {
      finish('accepted');
    });
    socket.once('error', () => {
      finish('refused');
    });
  });
}
