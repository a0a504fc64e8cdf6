/** A small HTTP server with JSON bodies; every stand-in runs on it. */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A parsed request, with the objects to answer it. */
export interface Exchange {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** An answer with a JSON body; `undefined` when the handler has dealt with the response itself. */
export type Answer =
  | {
      readonly status: number;
      readonly body?: unknown;
      readonly headers?: Readonly<Record<string, string>>;
    }
  | undefined;

export type Handler = (exchange: Exchange) => Answer | Promise<Answer>;

/** A running stand-in. */
export interface Server {
  readonly host: string;
  readonly port: number;
  /** Stops the server at once and destroys open connections. */
  readonly close: () => Promise<void>;
}

export interface ServerOptions {
  readonly host?: string;
  /** 0 selects a free port. */
  readonly port?: number;
  readonly handler: Handler;
}

/**
 * Starts a server on loopback.
 *
 * @param options the handler and the listen address
 */
export async function startServer({
  host = '127.0.0.1',
  port = 0,
  handler,
}: ServerOptions): Promise<Server> {
  const server = createServer((request, response) => {
    void answer(request, response, handler);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    host,
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

async function answer(
  request: IncomingMessage,
  response: ServerResponse,
  handler: Handler,
): Promise<void> {
  try {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const reply = await handler({
      method: request.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: request.headers,
      body: await readBody(request),
      request,
      response,
    });
    if (reply !== undefined) send(response, reply);
  } catch (error) {
    if (!response.headersSent) send(response, { status: 400, body: { error: String(error) } });
    else response.destroy();
  }
}

function send(response: ServerResponse, reply: Exclude<Answer, undefined>): void {
  response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers });
  response.end(reply.body === undefined ? '' : JSON.stringify(reply.body));
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
