/**
 * Closes the connections of callers that wait for no answer. The server's own method takes a connection for idle once
 * its answer is written, and discards what the system has not taken yet.
 */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

export interface IdleConnections {
  /** Closes each connection whose answers are sent and on which no further request has begun. */
  readonly close: () => void;
}

interface Connection {
  /** Requests whose answer is not sent. */
  readonly pending: number;
  /** Bytes received until the last answer was sent; undefined before the first. */
  readonly bytesRead: number | undefined;
}

/** @param server a server that has accepted no connection yet */
export function trackIdleConnections(server: Server): IdleConnections {
  const connections = new Map<Socket, Connection>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { pending: 0, bytesRead: undefined });
    socket.once('close', () => connections.delete(socket));
  });
  server.on('request', ({ socket }, response) => {
    const add = (change: number, bytesRead: number | undefined): void => {
      const known = connections.get(socket);
      if (known !== undefined)
        connections.set(socket, { pending: known.pending + change, bytesRead });
    };
    add(1, undefined);
    response.once('close', () => {
      add(-1, socket.bytesRead);
    });
  });
  return {
    close: () => {
      for (const [socket, { pending, bytesRead }] of connections) {
        const isIdle = pending === 0 && bytesRead === socket.bytesRead;
        if (isIdle && socket.writableLength === 0) socket.destroy();
      }
    },
  };
}
