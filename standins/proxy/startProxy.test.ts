import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOnLoopback } from './listenOnLoopback';
import type { FaultProxy } from './startProxy';
import { startProxy } from './startProxy';

/** Time to observe that nothing is forwarded. */
const OBSERVED_MS = 60;

interface Connection {
  readonly socket: Socket;
  /** Text that has arrived; the end of the connection counts as a full stop. */
  readonly received: () => string;
  readonly waitFor: (text: string) => Promise<void>;
}

function observe(socket: Socket): Connection {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  socket.on('end', () => {
    text += '.';
  });
  // The proxy resets both ends in some cases.
  socket.on('error', () => undefined);
  return {
    socket,
    received: () => text,
    waitFor: async (expected) => {
      while (text !== expected) await sleep(2);
    },
  };
}

describe('startProxy', () => {
  let server: Server;
  let proxy: FaultProxy;
  let accepted: Connection[];

  beforeEach(async () => {
    accepted = [];
    server = createServer({ allowHalfOpen: true }, (socket) => accepted.push(observe(socket)));
    proxy = await startProxy(await listenOnLoopback(server));
  });

  afterEach(() => {
    proxy.close();
    server.close();
  });

  const open = (): Promise<Connection> => {
    const [host, port] = proxy.address.split(':');
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port), allowHalfOpen: true }, () => {
        resolve(observe(socket));
      });
    });
  };

  const findAccepted = async (index: number): Promise<Connection> => {
    for (;;) {
      const connection = accepted[index];
      if (connection !== undefined) return connection;
      await sleep(2);
    }
  };

  it('holds bytes and ends of both directions and delivers them in order', async () => {
    const caller = await open();
    const callee = await findAccepted(0);
    caller.socket.write('a');
    await callee.waitFor('a');
    proxy.setMode('hold');
    for (const part of ['b', 'c', 'd']) {
      caller.socket.write(part);
      callee.socket.write(part.toUpperCase());
      await sleep(5);
    }
    caller.socket.end('e');
    callee.socket.end('E');
    await sleep(OBSERVED_MS);
    expect(callee.received()).toBe('a');
    expect(caller.received()).toBe('');
    proxy.setMode('pass');
    await callee.waitFor('abcde.');
    await caller.waitFor('BCDE.');
  });

  it('tells when a caller closed its connection, also where the target learns of it later', async () => {
    const caller = await open();
    const callee = await findAccepted(0);
    proxy.setMode('hold');
    const late = await open();
    caller.socket.end();
    late.socket.end('z');
    await sleep(OBSERVED_MS);
    const releasedMs = performance.now();
    expect(callee.received()).toBe('');
    proxy.setMode('pass');
    await callee.waitFor('.');
    const lateCallee = await findAccepted(1);
    await lateCallee.waitFor('z.');
    for (const { socket } of [callee, lateCallee]) {
      expect(proxy.callerClosedMs(socket.remotePort ?? 0)).toBeLessThan(releasedMs);
    }
  });

  it('does not tell of a closing while the connection is open', async () => {
    const caller = await open();
    const callee = await findAccepted(0);
    caller.socket.write('a');
    await callee.waitFor('a');
    expect(proxy.callerClosedMs(callee.socket.remotePort ?? 0)).toBeUndefined();
  });

  it('accepts connections in hold mode and forwards them afterwards', async () => {
    proxy.setMode('hold');
    const caller = await open();
    caller.socket.write('request');
    await sleep(OBSERVED_MS);
    expect(accepted).toEqual([]);
    proxy.setMode('pass');
    const callee = await findAccepted(0);
    await callee.waitFor('request');
    callee.socket.end('reply');
    await caller.waitFor('reply.');
  });

  it('keeps the order over slow and hold modes that follow each other', async () => {
    const caller = await open();
    const callee = await findAccepted(0);
    proxy.setMode('slow');
    caller.socket.write('a');
    await sleep(5);
    proxy.setMode('hold');
    caller.socket.write('b');
    await sleep(OBSERVED_MS);
    proxy.setMode('pass');
    caller.socket.write('c');
    await callee.waitFor('abc');
  });

  it('resets connections in hold mode at once', async () => {
    const caller = await open();
    await findAccepted(0);
    proxy.setMode('hold');
    const isReset = new Promise<boolean>((resolve) => {
      caller.socket.once('error', () => {
        resolve(true);
      });
    });
    proxy.reset();
    expect(await isReset).toBe(true);
  });

  it('drops bytes in mute mode, and all later bytes of the direction', async () => {
    const caller = await open();
    const callee = await findAccepted(0);
    proxy.setMode('mute');
    caller.socket.write('a');
    await sleep(OBSERVED_MS);
    proxy.setMode('pass');
    caller.socket.write('b');
    await sleep(OBSERVED_MS);
    expect(callee.received()).toBe('');
  });

  it('silences open connections for good, and no new ones', async () => {
    const caller = await open();
    const callee = await findAccepted(0);
    proxy.silence();
    caller.socket.write('a');
    callee.socket.end('b');
    const late = await open();
    const lateCallee = await findAccepted(1);
    late.socket.write('c');
    await lateCallee.waitFor('c');
    expect([callee.received(), caller.received()]).toEqual(['', '']);
  });

  it('tells of its modes', () => {
    const modes: string[] = [];
    proxy.onMode((mode) => modes.push(mode));
    proxy.setMode('down');
    proxy.setMode('pass');
    expect(modes).toEqual(['down', 'pass']);
  });
});
