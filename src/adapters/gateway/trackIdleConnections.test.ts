import { createServer, request } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import type { IdleConnections } from './trackIdleConnections';
import { trackIdleConnections } from './trackIdleConnections';

/** More than the system takes for a caller that does not read. */
const LARGE = Buffer.alloc(16 * 1024 * 1024, 'a');

let server: Server;
let idle: IdleConnections;

beforeEach(async () => {
  server = createServer((incoming, response) => {
    if (incoming.url === '/large') response.end(LARGE);
    else if (incoming.url === '/now') response.end('ok');
  });
  idle = trackIdleConnections(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const open = async (path: string): Promise<Socket> => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  return socket;
};

describe('trackIdleConnections', () => {
  it('closes a connection whose answer is sent', async () => {
    const socket = await open('/now');
    await once(socket, 'data');
    const closed = once(socket, 'close');
    idle.close();
    await closed;
    expect(socket.destroyed).toBe(true);
  });

  it('leaves a connection whose answer the caller has not taken yet', async () => {
    const { port } = server.address() as AddressInfo;
    const reply = await new Promise<IncomingMessage>((resolve) => {
      request({ host: '127.0.0.1', port, path: '/large', agent: false }, resolve).end();
    });
    idle.close();
    await new Promise((resolve) => setTimeout(resolve, 50));
    idle.close();
    let bytes = 0;
    for await (const chunk of reply) bytes += (chunk as Buffer).length;
    expect([reply.complete, bytes]).toEqual([true, LARGE.length]);
  });

  it('leaves a connection whose request has no answer yet', async () => {
    const socket = await open('/never');
    await once(server, 'request');
    idle.close();
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(socket.destroyed).toBe(false);
    socket.destroy();
  });

  it('leaves a connection that has sent nothing yet, or the begin of its next request', async () => {
    const { port } = server.address() as AddressInfo;
    const fresh = connect(port, '127.0.0.1');
    await once(fresh, 'connect');
    const begun = await open('/now');
    await once(begun, 'data');
    begun.write('GET /now HT');
    await new Promise((resolve) => setTimeout(resolve, 50));
    idle.close();
    await new Promise((resolve) => setTimeout(resolve, 50));
    begun.write('TP/1.1\r\nHost: a\r\n\r\n');
    fresh.write('GET /now HTTP/1.1\r\nHost: a\r\n\r\n');
    const answers = await Promise.all([once(begun, 'data'), once(fresh, 'data')]);
    expect(answers.map(([bytes]) => String(bytes).slice(0, 15))).toEqual([
      'HTTP/1.1 200 OK',
      'HTTP/1.1 200 OK',
    ]);
  });
});
