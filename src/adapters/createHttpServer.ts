/** The HTTP server of a VM, which serves callers, operators and status requests. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Address } from '../vms/vm';
import { callerRoutes } from './callerRoutes';
import { REQUEST_READ_TIMEOUT_MS } from './constants';
import type { Exchange, HttpHost } from './exchange';
import { formatError } from './formatError';
import { operatorRoutes } from './operatorRoutes';
import { refuseExchange } from './refuseExchange';
import { createProblemBody, sendProblem } from './sendProblem';
import { statusRoutes } from './statusRoutes';
import { toProblem } from './toProblem';

const routes = [...callerRoutes, ...operatorRoutes, ...statusRoutes];

/** Refusal reasons for requests that Node's HTTP parser rejects, by error code. */
const CLIENT_ERROR_REASONS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'caller-too-slow',
};

export interface HttpServer {
  readonly address: Address;
  /** Stops accepting connections and closes idle ones; active connections continue. */
  readonly stopListening: () => void;
  /** Closes the server and all its connections immediately. */
  readonly close: () => Promise<void>;
}

/**
 * Starts the server.
 *
 * @param listen the address to listen on; with port 0 the operating system chooses one
 * @param host the node's interface for the handlers
 */
export async function createHttpServer(listen: Address, host: HttpHost): Promise<HttpServer> {
  const server = createServer(
    {
      maxHeaderSize: host.limits.headerBytes,
      requestTimeout: REQUEST_READ_TIMEOUT_MS,
      headersTimeout: REQUEST_READ_TIMEOUT_MS,
    },
    (request, response) => {
      void handleRequest(request, response, host);
    },
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    answerClientError(error, socket, host);
  });
  const port = await startListening(server, listen);
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

function startListening(server: Server, { host, port }: Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  host: HttpHost,
): Promise<void> {
  const exchange = { request, response, host, captured: [], url: parseUrl(request) };
  const { responses } = host.waiting;
  responses.add(response);
  response.on('close', () => {
    responses.delete(response);
  });
  try {
    await routeRequest(exchange);
  } catch (error) {
    host.count('http_faults');
    const detail = `this VM failed on the request: ${formatError(error)}`;
    sendProblem(response, toProblem({ outcome: 'unknown', reason: 'internal-error', detail }));
  }
}

function parseUrl({ url = '/' }: IncomingMessage): URL {
  return new URL(url.startsWith('/') ? `http://vm${url}` : 'http://vm/');
}

async function routeRequest(exchange: Exchange): Promise<void> {
  const { pathname } = exchange.url;
  const method = exchange.request.method ?? 'GET';
  const pathRoutes = routes.filter(({ path }) => path.test(pathname));
  const route = pathRoutes.find(
    (candidate) => candidate.method === method || candidate.method === '*',
  );
  if (route !== undefined) {
    const captured = route.path.exec(pathname)?.slice(1) ?? [];
    await route.handle({ ...exchange, captured });
  } else if (pathRoutes.length > 0) {
    refuseExchange(exchange, 'no-such-method', `${method} is not for ${pathname}`);
  } else {
    refuseExchange(exchange, 'no-such-path', `there is nothing under ${pathname}`);
  }
}

function answerClientError(error: NodeJS.ErrnoException, socket: Socket, host: HttpHost): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const reason = CLIENT_ERROR_REASONS[error.code ?? ''] ?? 'invalid-request';
  host.count('http_refusals', { reason });
  const problem = toProblem({ outcome: 'not-run', reason, detail: error.message });
  const body = JSON.stringify(createProblemBody(problem));
  const responseHead = [
    `HTTP/1.1 ${problem.status} ${reason}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${responseHead.join('\r\n')}\r\n\r\n${body}`);
}
