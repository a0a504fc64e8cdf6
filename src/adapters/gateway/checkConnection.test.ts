import { createServer } from 'node:net';
import { listenOnLoopback } from '../../../standins/proxy/listenOnLoopback';
import { checkConnection } from './checkConnection';
import { findTestPorts } from './findTestPorts';

describe('checkConnection', () => {
  it('is accepted by a server that listens, which receives nothing', async () => {
    let bytes = 0;
    const server = createServer((socket) => {
      socket.on('data', (chunk) => {
        bytes += chunk.length;
      });
      socket.on('error', () => undefined);
    });
    const address = await listenOnLoopback(server);
    expect(await checkConnection(address, 5_000)).toBe('accepted');
    await new Promise((resolve) => server.close(resolve));
    expect(bytes).toBe(0);
  });

  it('is refused where nobody listens', async () => {
    const [port = 0] = await findTestPorts(1);
    expect(await checkConnection(`127.0.0.1:${port}`, 5_000)).toBe('refused');
  });
});
