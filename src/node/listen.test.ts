import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { listen } from './listen';

const occupy = async (): Promise<{ occupied: Server; address: string }> => {
  const occupied = createServer();
  await new Promise<void>((resolve) => occupied.listen(0, '127.0.0.1', resolve));
  return { occupied, address: `127.0.0.1:${(occupied.address() as AddressInfo).port}` };
};

describe('listen', () => {
  it('reports an address that is in use', async () => {
    const { occupied, address } = await occupy();
    const server = createServer();
    const message = await new Promise<string>((resolve) => {
      listen(server, address, { onFailure: resolve });
    });
    server.close();
    occupied.close();
    expect(message).toContain(`Cannot listen on ${address}`);
    expect(message).toContain('EADDRINUSE');
  });

  // A VM ended where another process still held one of its ports for a moment.
  it('takes an address once it is free', async () => {
    const { occupied, address } = await occupy();
    const server = createServer();
    const messages: string[] = [];
    listen(server, address, { onFailure: (message) => messages.push(message), retryMs: 5 });
    while (messages.length < 3) await new Promise((resolve) => setTimeout(resolve, 5));
    occupied.close();
    await once(server, 'listening');
    expect((server.address() as AddressInfo).port).toBe(Number(address.split(':')[1]));
    server.close();
  });

  // An error of accept, for instance for lack of descriptors, ended a VM with all its requests.
  it('goes on where a connection could not be accepted', async () => {
    const server = createServer();
    const messages: string[] = [];
    listen(server, '127.0.0.1:0', { onFailure: (message) => messages.push(message) });
    await once(server, 'listening');
    server.emit('error', new Error('accept EMFILE'));
    expect([server.listening, messages]).toEqual([
      true,
      ['Cannot accept a connection on 127.0.0.1:0: accept EMFILE'],
    ]);
    server.close();
  });
});
