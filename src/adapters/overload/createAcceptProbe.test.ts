import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createAcceptProbe } from './createAcceptProbe';

/** Connections that arrive together; the runtime accepts one in each run of the event loop. */
const CONNECTIONS = 20;

const nextRun = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

describe('createAcceptProbe', () => {
  let server: Server;
  const sockets: Socket[] = [];
  /** Runs of the event loop, as a clock. */
  let runs = 0;
  /** Idle time, on the same clock. */
  let idleRuns = 0;
  let accepted = 0;

  const start = async () => {
    server = createServer((socket) => {
      accepted += 1;
      sockets.push(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const probe = createAcceptProbe({
      server,
      address: `127.0.0.1:${port}`,
      now: () => runs,
      idleMs: () => idleRuns,
    });
    return { port, probe };
  };

  const runUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) {
      runs += 1;
      await nextRun();
    }
  };

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  it('finds how long connections wait that are accepted one by one', async () => {
    const { port, probe } = await start();
    for (let index = 0; index < CONNECTIONS; index += 1) {
      const socket = connect(port, '127.0.0.1');
      await once(socket, 'connect');
      sockets.push(socket);
    }
    await runUntil(() => accepted === CONNECTIONS);
    for (let index = 0; index < CONNECTIONS; index += 1) sockets.push(connect(port, '127.0.0.1'));
    probe.measure();
    expect(probe.delayMs()).toBe(0);
    await runUntil(() => accepted === 2 * CONNECTIONS + 1);
    expect(probe.delayMs()).toBeGreaterThanOrEqual(CONNECTIONS);
  });

  it('tells of a wait that has not ended, and forgets it once there was nothing to do', async () => {
    const { probe } = await start();
    probe.measure();
    runs += 3_000;
    expect(probe.delayMs()).toBe(3_000);
    const before = accepted;
    await runUntil(() => accepted === before + 1);
    expect(probe.delayMs()).toBeGreaterThanOrEqual(3_000);
    runs += 1;
    idleRuns += 1;
    expect(probe.delayMs()).toBe(0);
  });

  it('gives up a connection that has not arrived while there was nothing to do', async () => {
    const { probe } = await start();
    probe.measure();
    runs += 500;
    idleRuns += 2;
    expect(probe.delayMs()).toBe(0);
  });
});
