import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { IncomingMessage } from 'node:http';
import { openExchange } from './openExchange';
import { createConnectionTurns } from '../intake/createConnectionTurns';
import { createReplyMemory } from '../../replies/createReplyMemory';
import { readReplyBody } from './readReplyBody';

const shares = {
  replyMemory: createReplyMemory({ maxBytes: 100_000_000 }),
  replyTurns: createConnectionTurns({ now: () => performance.now() }),
};

const read = (reply: IncomingMessage) => readReplyBody(reply, shares);

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

let server: Server;

const listen = (onConnection: (socket: Socket) => void): Promise<string> =>
  new Promise((resolve) => {
    server = createServer(onConnection);
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });

const sendRequest = (address: string): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    openExchange(
      { address, method: 'GET', path: '/', headers: {}, body: undefined },
      {
        onReply: resolve,
        onFailure: ({ isSent, detail }) => {
          reject(new Error(`${isSent ? 'sent' : 'unsent'}: ${detail}`));
        },
      },
    );
  });

describe('openExchange', () => {
  afterEach(() => {
    server.close();
  });

  it('accepts a reply without a length as complete when its connection closes', async () => {
    const address = await listen((socket) => {
      socket.once('data', () => socket.end(`${HEAD}whole`));
    });
    const body = await read(await sendRequest(address));
    expect(body).toEqual({
      type: 'whole',
      body: Buffer.from('whole'),
      release: expect.any(Function) as unknown,
    });
  });

  it('never accepts a reply without a length as complete after a reset', async () => {
    let peer: Socket | undefined;
    const address = await listen((socket) => {
      peer = socket;
      socket.on('error', () => undefined);
      socket.once('data', () => socket.write(`${HEAD}par`));
    });
    const reply = await sendRequest(address);
    const body = read(reply);
    await new Promise((resolve) => reply.once('data', resolve));
    peer?.resetAndDestroy();
    expect((await body).type).toBe('broken');
  });

  it('detects a reset that arrives together with the last bytes', async () => {
    const address = await listen((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(`${HEAD}par`);
        socket.resetAndDestroy();
      });
    });
    const result = await sendRequest(address).then(read, () => ({ type: 'broken' }));
    expect(result.type).toBe('broken');
  });

  it('reports that nothing was sent if no connection was made', async () => {
    const address = await listen(() => undefined);
    await new Promise((resolve) => server.close(resolve));
    await expect(sendRequest(address)).rejects.toThrow('unsent');
  });

  it('reports the request as sent after a reset without a reply', async () => {
    const address = await listen((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.resetAndDestroy());
    });
    await expect(sendRequest(address)).rejects.toThrow(/^sent/);
  });
});
