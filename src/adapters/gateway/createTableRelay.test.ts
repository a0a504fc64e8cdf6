import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { sendRaw } from './testRawCaller';
import { createTableRelay } from './createTableRelay';

let server: Server;

beforeEach(async () => {
  const relay = createTableRelay(() => ({ monotonicMs: 0, wallMs: 0 }));
  server = createServer(relay.handle).listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

describe('createTableRelay', () => {
  // Such a target ended the VM, as the runtime throws where it is parsed as a URL.
  it.each(['//', 'http://', '/tables?table=%', '*', '//[', '/tables?era=x', '?'])(
    'refuses the request target %s',
    async (target) => {
      const { port } = server.address() as AddressInfo;
      const request = `GET ${target} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n`;
      const { text } = await sendRaw(`127.0.0.1:${port}`, request, 1_000);
      expect(text).toMatch(/^HTTP\/1\.1 400 /);
    },
  );
});
