/**
 * Closes the connections of callers that wait for no answer. The server's own method takes a connection for idle once
 * its answer is written, and discards what the system has not taken yet.
 */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

export interface IdleConnections {
  /** Closes each connection that has no request and nothing left to send. */
  readonly close: () => void;
}

/** @param server a server that has accepted no connection yet */
export function trackIdleConnections(server: Server): IdleConnections {
  /** Answers that are not sent, by connection. */
  const pending = new Map<Socket, number>();
  server.on('connection', (socket: Socket) => {
    pending.set(socket, 0);
    socket.once('close', () => pending.delete(socket));
  });
  server.on('request', ({ socket }, response) => {
    pending.set(socket, (pending.get(socket) ?? 0) + 1);
    response.once('close', () => {
      const count = pending.get(socket);
      if (count !== undefined) pending.set(socket, count - 1);
    });
  });
  return {
    close: () => {
      for (const [socket, count] of pending) {
        if (count === 0 && socket.writableLength === 0) socket.destroy();
      }
    },
  };
}
