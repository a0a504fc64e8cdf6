/** Stand-in for a client: sends a request as given and reads the answer. */

import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { takeMessage } from './http1.mjs';
import { now } from './record.mjs';

/** A connection that a client keeps open for its requests, one at a time. */
export function openConnection(address) {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  let bytes = Buffer.alloc(0);
  let isEnded = false;
  let wake = () => undefined;
  socket.on('data', (chunk) => {
    bytes = Buffer.concat([bytes, chunk]);
    wake();
  });
  socket.on('error', () => undefined);
  socket.on('end', () => {
    isEnded = true;
    wake();
  });
  socket.on('close', () => {
    isEnded = true;
    wake();
  });
  return {
    isOpen: () => !isEnded,
    close: () => socket.destroy(),
    /**
     * @param request method, path, headers and body; a body is sent with its length
     * @returns `status` is undefined if the connection ended, or the deadline passed, without an answer
     */
    send: ({ method, path, headers, body, deadlineMs }) => {
      const lines = Object.entries({
        ...headers,
        'X-Deadline-Remaining': deadlineMs,
        ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      }).map(([name, value]) => `${name}: ${value}`);
      const sentMs = now();
      socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body ?? ''}`);
      return new Promise((resolve) => {
        const finish = (result) => {
          clearTimeout(timer);
          wake = () => undefined;
          resolve({ sentMs, endedMs: now(), ...result });
        };
        const timer = setTimeout(() => {
          socket.destroy();
          finish({ end: 'deadline passed' });
        }, deadlineMs);
        wake = () => {
          const message = takeMessage(bytes, { isRequest: false, isEnded });
          if (message !== undefined) {
            bytes = message.rest;
            finish({
              end: 'answered',
              status: Number(message.first.split(' ')[1]),
              headers: message.headers,
              body: message.body.toString(),
            });
          } else if (isEnded) finish({ end: 'connection ended' });
        };
        wake();
      });
    },
  };
}

/** Sends one request on a connection of its own. */
export async function sendOnce(address, request) {
  const connection = openConnection(address);
  const result = await connection.send(request);
  connection.close();
  return result;
}
