/** The one HTTP server of a VM: callers, operators and status. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Address } from '../vms/vm';
import { callerRoutes } from './callerRoutes';
import { REQUEST_READ_TIMEOUT_MS } from './constants';
import { errorText } from './errorText';
import type { Exchange, HttpHost } from './exchange';
import { operatorRoutes } from './operatorRoutes';
import { refuseExchange } from './refuseExchange';
import { createProblemBody, sendProblem } from './sendProblem';
import { statusRoutes } from './statusRoutes';
import { toProblem } from './toProblem';

const routes = [...callerRoutes, ...operatorRoutes, ...statusRoutes];

/** What a caller is told whose request broke the rules of HTTP, by the parser's code. */
const PARSE_REASONS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'caller-too-slow',
};

export interface HttpServer {
  readonly address: Address;
  /** Takes no new connections; the ones in use go on. */
  readonly stopListening: () => void;
  /** Ends it at once. */
  readonly close: () => Promise<void>;
}

/**
 * Starts the server.
 *
 * @param listen where to listen; port 0 lets the system choose
 * @param host what the handlers need of the node
 */
export async function createHttpServer(listen: Address, host: HttpHost): Promise<HttpServer> {
  const server = createServer(
    {
      maxHeaderSize: host.limits.headerBytes,
      requestTimeout: REQUEST_READ_TIMEOUT_MS,
      headersTimeout: REQUEST_READ_TIMEOUT_MS,
    },
    (request, response) => {
      void handle(request, response, host);
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    answerBroken(error, socket, host);
  });
  const port = await start(server, listen);
  return {
    address: { host: listen.host, port },
    stopListening: () => {
      server.close();
      server.closeIdleConnections();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

function start(server: Server, { host, port }: Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  host: HttpHost,
): Promise<void> {
  const exchange = { request, response, host, captured: [], url: readUrl(request) };
  const { responses } = host.waiting;
  responses.add(response);
  response.on('close', () => {
    responses.delete(response);
  });
  try {
    await dispatch(exchange);
  } catch (error) {
    host.count('http_faults');
    const detail = `this VM failed on the request: ${errorText(error)}`;
    sendProblem(response, toProblem({ outcome: 'unknown', reason: 'internal-error', detail }));
  }
}

function readUrl({ url = '/' }: IncomingMessage): URL {
  return new URL(url.startsWith('/') ? `http://vm${url}` : 'http://vm/');
}

async function dispatch(exchange: Exchange): Promise<void> {
  const { pathname } = exchange.url;
  const method = exchange.request.method ?? 'GET';
  const onPath = routes.filter(({ path }) => path.test(pathname));
  const route = onPath.find((one) => one.method === method || one.method === '*');
  if (route !== undefined) {
    const captured = route.path.exec(pathname)?.slice(1) ?? [];
    await route.handle({ ...exchange, captured });
  } else if (onPath.length > 0) {
    refuseExchange(exchange, 'no-such-method', `${method} is not for ${pathname}`);
  } else {
    refuseExchange(exchange, 'no-such-path', `there is nothing under ${pathname}`);
  }
}

function answerBroken(error: NodeJS.ErrnoException, socket: Socket, host: HttpHost): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const reason = PARSE_REASONS[error.code ?? ''] ?? 'invalid-request';
  host.count('http_refusals', { reason });
  const problem = toProblem({ outcome: 'not-run', reason, detail: error.message });
  const body = JSON.stringify(createProblemBody(problem));
  const head = [
    `HTTP/1.1 ${problem.status} ${reason}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
