/**
 * Stand-in for a plain server of a service: runs calls as PROTOCOL.md says, one at a time on a connection, and
 * keeps its entry in the store.
 */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { setTimeout } from 'node:timers';
import { takeMessage } from './http1.mjs';
import { listen } from './ports.mjs';
import { now } from './record.mjs';

const REASONS = { 200: 'OK', 421: 'Misdirected Request', 503: 'Service Unavailable' };

/**
 * @param options.id id under which it is listed
 * @param options.workMs time that a call takes
 * @param options.onRun called when a call begins to run
 * @param options.answer body of the answer to a call
 */
export async function startServer(options) {
  const { id, service, zone, store, workMs = 15, onRun, answer = () => `done at ${id}` } = options;
  const born = Date.now();
  let state = 'ready';
  let version = 'v1';
  let isLeaving = false;
  const sockets = new Set();

  const respond = (socket, status, headers, body = '') => {
    const bytes = Buffer.from(body);
    const lines = Object.entries({
      ...headers,
      'X-Instance-Id': id,
      ...(isLeaving ? { 'Server-Leaving': '1', Connection: 'close' } : {}),
      'Content-Length': bytes.length,
    }).map(([name, value]) => `${name}: ${value}`);
    const head = `HTTP/1.1 ${status} ${REASONS[status]}\r\n${lines.join('\r\n')}\r\n\r\n`;
    socket.write(Buffer.concat([Buffer.from(head), bytes]));
  };
  const serve = (socket, { first, headers, body }, done) => {
    const [method, path] = first.split(' ');
    if (path === '/health') {
      respond(socket, state === 'ready' ? 200 : 503, {});
      done();
      return;
    }
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      respond(socket, 421, {});
      done();
      return;
    }
    if (path.startsWith('/-/')) {
      respond(socket, 503, { 'X-Not-Executed': 1 });
      done();
      return;
    }
    const requestId = headers['x-request-id'];
    onRun?.({ server: id, requestId, method, path, headers, body: body.toString(), atMs: now() });
    setTimeout(() => {
      if (socket.destroyed) return;
      const seal = `3e1b.07.${requestId}`;
      respond(
        socket,
        200,
        { 'X-Request-Id': requestId, 'X-Response-Seal': seal },
        answer(requestId),
      );
      done();
    }, workMs);
  };
  const server = createServer({ noDelay: true }, (socket) => {
    let bytes = Buffer.alloc(0);
    let isBusy = false;
    /** No request follows one that asked for the end of its connection. */
    let isLast = false;
    sockets.add(socket);
    const next = () => {
      if (isBusy || isLast) return;
      const message = takeMessage(bytes, { isRequest: true });
      if (message === undefined) return;
      bytes = message.rest;
      isBusy = true;
      isLast = isLeaving || /close/i.test(message.headers.connection ?? '');
      serve(socket, message, () => {
        isBusy = false;
        if (isLast) socket.end();
        else next();
      });
    };
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      next();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  const address = await listen(server);
  const publish = () =>
    store.put('servers', id, {
      service,
      address,
      zone,
      version,
      slots: 6,
      state,
      coldLeftMs: 0,
      seqNo: 1,
      born,
    });
  publish();
  return {
    id,
    address,
    publish,
    /** Changes its entry, so that waits for changes of the list end. */
    setVersion: (next) => {
      version = next;
      publish();
    },
    /** Reports that it drains, and says so in its answers from then on. */
    drain: () => {
      state = 'draining';
      isLeaving = true;
      publish();
    },
    /** Ends at once, as a process that exits; its entry is removed. */
    exit: () => {
      store.put('servers', id, undefined);
      for (const socket of sockets) socket.resetAndDestroy();
      server.close();
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
