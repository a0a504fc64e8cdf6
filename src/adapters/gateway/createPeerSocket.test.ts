import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createPeerSocket } from './createPeerSocket';
import type { PeerSocket } from './createPeerSocket';
import { findTestPorts } from './findTestPorts';

const MESSAGE = Buffer.from('a');

const sockets: PeerSocket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.close();
});

const open = (port: number, onDatagram: (datagram: Uint8Array) => void, log: string[]) => {
  const socket = createPeerSocket({
    address: `127.0.0.1:${port}`,
    onDatagram,
    log: (message) => log.push(message),
    retryMs: 5,
  });
  sockets.push(socket);
  return socket;
};

const until = async (isMet: () => boolean): Promise<void> => {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 5));
};

describe('createPeerSocket', () => {
  // A VM whose port was taken for a moment never heard of the others again.
  it('binds its address once that is free, and sends from no other', async () => {
    const occupied = createSocket('udp4');
    occupied.bind(0, '127.0.0.1');
    await once(occupied, 'listening');
    const { port } = occupied.address();
    const [receiverPort = 0] = await findTestPorts(1);
    const fromPorts: number[] = [];
    const receiver = createSocket('udp4').on('message', (_, from) => fromPorts.push(from.port));
    receiver.bind(receiverPort, '127.0.0.1');
    await once(receiver, 'listening');
    const log: string[] = [];
    const socket = open(port, () => undefined, log);
    await until(() => log.length >= 3);
    socket.send(`127.0.0.1:${receiverPort}`, MESSAGE);
    occupied.close();
    await until(() => {
      socket.send(`127.0.0.1:${receiverPort}`, MESSAGE);
      return fromPorts.length > 0;
    });
    receiver.close();
    expect([...new Set(fromPorts)]).toEqual([port]);
  });

  it('goes on after a datagram that could not be handled', async () => {
    const [port = 0, otherPort = 0] = await findTestPorts(2);
    let received = 0;
    const log: string[] = [];
    open(
      port,
      () => {
        received += 1;
        throw new Error('odd datagram');
      },
      log,
    );
    const sender = open(otherPort, () => undefined, []);
    await until(() => {
      sender.send(`127.0.0.1:${port}`, MESSAGE);
      return received > 1;
    });
    expect(new Set(log)).toEqual(new Set(['datagram not handled']));
  });

  // A VM that was stopping ended by an error where it still had a datagram to send.
  it('sends nothing after it was closed, and may be closed twice', async () => {
    const [port = 0] = await findTestPorts(1);
    const socket = open(port, () => undefined, []);
    socket.close();
    expect(() => {
      socket.send(`127.0.0.1:${port}`, MESSAGE);
      socket.close();
    }).not.toThrow();
  });
});
