/**
 * Sends one request to a backend server on a new connection. A new connection costs one round trip. It can
 * neither carry a late answer to an earlier request nor be a dead connection that was not yet detected, and
 * a failure before it is established proves that nothing was sent.
 */

import { Agent, request as sendRequest } from 'node:http';
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { limitReplyHead } from './limitReplyHead';

export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer | undefined;
}

/** No reply was received. */
export interface ExchangeFailure {
  /** False if no byte can have reached the server. */
  readonly isSent: boolean;
  readonly detail: string;
  /** Nobody listens at the address. */
  readonly isRefused: boolean;
  /** The server sent more than a reply's head may have. */
  readonly isOversized: boolean;
}

export interface ExchangeHandlers {
  /** The connection is established. */
  readonly onConnect?: () => void;
  readonly onReply: (reply: IncomingMessage) => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

export interface Exchange {
  /** Closes the connection; no handler is called afterwards. */
  readonly abort: () => void;
  /** Whether bytes may have reached the server. */
  readonly isSent: () => boolean;
}

/** Allows several round trips between failure domains. */
const CONNECT_TIMEOUT_MS = 250;

/** Lowest status of a final reply; 101 is none either, as no upgrade is ever requested. */
const FIRST_FINAL_STATUS = 200;

const agent = new Agent({ keepAlive: false });

/** Sends a request and calls exactly one of the handlers, once. */
export function openExchange(request: ExchangeRequest, handlers: ExchangeHandlers): Exchange {
  const [host, port] = request.address.split(':');
  let isSent = false;
  let isOver = false;
  let received: IncomingMessage | undefined;
  const outgoing = sendRequest({
    agent,
    host,
    port: Number(port),
    method: request.method,
    path: request.path,
    // Node.js frames no body by itself for methods that usually have none.
    headers:
      request.body === undefined
        ? request.headers
        : { ...request.headers, 'content-length': request.body.length },
  });
  const fail = (detail: string, { isOversized = false, isRefused = false } = {}): void => {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    outgoing.destroy();
    handlers.onFailure({ isSent, detail, isRefused, isOversized });
  };
  const timer = setTimeout(() => {
    fail('connect timeout');
  }, CONNECT_TIMEOUT_MS);
  outgoing.on('socket', (socket) => {
    socket.setNoDelay(true);
    socket.once('connect', () => {
      isSent = true;
      clearTimeout(timer);
      handlers.onConnect?.();
    });
    socket.prependOnceListener('end', () => {
      // Node.js reports a reset that arrives with the last bytes as an orderly end, but the socket then
      // has no remote address.
      if (socket.remoteAddress === undefined) received?.destroy(new Error('connection reset'));
    });
  });
  outgoing.on('error', (error) => {
    // A reply without a length ends with its connection; after a reset it must not look complete.
    received?.destroy(error);
    const code = 'code' in error ? error.code : undefined;
    fail(error.message, {
      isOversized: code === 'HPE_HEADER_OVERFLOW',
      isRefused: code === 'ECONNREFUSED',
    });
  });
  limitReplyHead(outgoing, () => {
    fail('head too large', { isOversized: true });
  });
  outgoing.on('response', (reply) => {
    received = reply;
    if ((reply.statusCode ?? 0) < FIRST_FINAL_STATUS) fail(`status ${reply.statusCode ?? 0}`);
    if (isOver) {
      reply.destroy();
      return;
    }
    isOver = true;
    clearTimeout(timer);
    handlers.onReply(reply);
  });
  outgoing.end(request.body);
  return {
    isSent: () => isSent,
    abort: () => {
      isOver = true;
      clearTimeout(timer);
      outgoing.destroy();
    },
  };
}
