/** Sends bytes to a gateway as they stand, and collects all that comes back, for tests. */

import { connect } from 'node:net';

export interface RawAnswer {
  /** Bytes until the connection ended or the time was up, one character a byte. */
  readonly text: string;
  readonly isClosed: boolean;
}

/**
 * @param address IP and port
 * @param bytes one character a byte
 * @param forMs time after which an open connection is left, milliseconds
 */
export function sendRaw(address: string, bytes: string, forMs: number): Promise<RawAnswer> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const chunks: Buffer[] = [];
    const finish = (isClosed: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ text: Buffer.concat(chunks).toString('latin1'), isClosed });
    };
    const timer = setTimeout(() => {
      finish(false);
    }, forMs);
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => {
      finish(true);
    });
    socket.on('close', () => {
      finish(true);
    });
    socket.write(Buffer.from(bytes, 'latin1'));
  });
}
