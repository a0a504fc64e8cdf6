import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listen } from './listen';

describe('listen', () => {
  it('reports an address that is in use', async () => {
    const occupied = createServer();
    await new Promise<void>((resolve) => occupied.listen(0, '127.0.0.1', resolve));
    const { port } = occupied.address() as AddressInfo;
    const message = await new Promise<string>((resolve) => {
      listen(createServer(), `127.0.0.1:${port}`, resolve);
    });
    occupied.close();
    expect(message).toContain(`Cannot listen on 127.0.0.1:${port}`);
    expect(message).toContain('EADDRINUSE');
  });
});
