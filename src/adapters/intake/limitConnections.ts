/**
 * Bounds the open connections of a server, and the requests that one connection has open. Where a further connection comes, the one that has gone
 * longest without a complete request is closed; the further one itself if all serve requests.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { chooseClosedConnection } from '../../intake/chooseClosedConnection';

export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Requests without an answer on one connection; with more, it is closed. */
  readonly maxPipelined: number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Called for each connection that is closed for the limit. */
  readonly onClosed: () => void;
}

interface Connection {
  readonly id: number;
  readonly socket: Socket;
  /** Requests whose answer is not sent. */
  readonly requests: ReadonlySet<IncomingMessage>;
  readonly waitingSinceMs: number;
}

/** @param server a server that has accepted no connection yet */
export function limitConnections(server: Server, options: ConnectionLimitOptions): void {
  const { maxConnections, maxPipelined, now, onClosed } = options;
  const connections = new Map<Socket, Connection>();
  let lastId = 0;
  const makeRoom = (): void => {
    const candidates = [...connections.values()].map(({ id, requests, waitingSinceMs }) => ({
      id,
      isServing: [...requests].some(({ complete }) => complete),
      waitingSinceMs,
    }));
    const chosen = chooseClosedConnection(candidates);
    const connection = [...connections.values()].find(({ id }) => id === chosen);
    if (connection === undefined) return;
    onClosed();
    connections.delete(connection.socket);
    connection.socket.destroy();
  };
  server.on('connection', (socket: Socket) => {
    lastId += 1;
    connections.set(socket, {
      id: lastId,
      socket,
      requests: new Set(),
      waitingSinceMs: now(),
    });
    socket.once('close', () => connections.delete(socket));
    if (connections.size > maxConnections) makeRoom();
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    const change = (requests: ReadonlySet<IncomingMessage>): void => {
      const connection = connections.get(socket);
      if (connection !== undefined)
        connections.set(socket, { ...connection, requests, waitingSinceMs: now() });
    };
    const requests = new Set([...(connections.get(socket)?.requests ?? []), request]);
    change(requests);
    // The runtime reads all requests of one piece of 64 KB at once, some hundreds.
    if (requests.size > maxPipelined && connections.delete(socket)) {
      onClosed();
      socket.destroy();
    }
    response.once('close', () => {
      const open = connections.get(socket)?.requests ?? new Set();
      change(new Set([...open].filter((one) => one !== request)));
    });
  });
}
