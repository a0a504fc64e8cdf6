/** A raw socket server for tests that answers each request with bytes that do not end. */

import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

export interface Flood {
  /** Sent once, ahead of the repeated bytes. */
  readonly head: string;
  /** Sent again and again until the client closes the connection. */
  readonly repeated: string | Buffer;
}

export interface FloodEnd {
  /** False if the server gave up first. */
  readonly isClosedByClient: boolean;
  /** Bytes that the operating system accepted, which include those that the client never read. */
  readonly bytes: number;
}

export interface FloodServer {
  readonly address: string;
  /** Resolves when the first connection that was flooded is closed. */
  readonly end: Promise<FloodEnd>;
  readonly close: () => void;
}

/** Bytes after which the server gives up; more than any bound and the socket buffers together. */
const MAX_FLOOD_BYTES = 32 * 1024 * 1024;

const WRITE_BYTES = 64 * 1024;

export function startFloodServer(flood: Flood): Promise<FloodServer> {
  const unit = Buffer.from(flood.repeated);
  const block = Buffer.concat(
    Array.from({ length: Math.ceil(WRITE_BYTES / unit.length) }, () => unit),
  );
  return new Promise((resolveServer) => {
    let resolveEnd: (end: FloodEnd) => void = () => undefined;
    const end = new Promise<FloodEnd>((resolve) => {
      resolveEnd = resolve;
    });
    const server = createServer((socket) => {
      let bytes = 0;
      let hasGivenUp = false;
      const write = (): void => {
        if (socket.destroyed) return;
        hasGivenUp = bytes > MAX_FLOOD_BYTES;
        if (hasGivenUp) {
          socket.destroy();
          return;
        }
        socket.write(block, (error) => {
          if (error) return;
          bytes += block.length;
          setImmediate(write);
        });
      };
      // A client that closes with unread bytes resets the connection.
      socket.on('error', () => undefined);
      socket.on('close', () => {
        resolveEnd({ isClosedByClient: !hasGivenUp, bytes });
      });
      socket.once('data', () => {
        socket.write(flood.head);
        write();
      });
    });
    server.listen(0, '127.0.0.1', () => {
      resolveServer({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        end,
        close: () => server.close(),
      });
    });
  });
}
