import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { findFreeAddresses, listenOnLoopback } from './listenOnLoopback';

const servers: Server[] = [];

const listen = async (): Promise<number> => {
  const server = createServer();
  servers.push(server);
  return Number((await listenOnLoopback(server)).split(':')[1]);
};

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

describe('listenOnLoopback', () => {
  it('gives the port of a closed server to no other one soon', async () => {
    const closed = await listen();
    await new Promise((resolve) => servers.pop()?.close(resolve));
    const later = await Promise.all(Array.from({ length: 100 }, listen));
    expect(later).not.toContain(closed);
    expect(new Set(later).size).toBe(100);
  });

  it('keeps all ports in one block below the ephemeral ports', async () => {
    const ports = await Promise.all(Array.from({ length: 20 }, listen));
    const addresses = await findFreeAddresses(20);
    const all = [...ports, ...addresses.map((address) => Number(address.split(':')[1]))];
    expect(Math.max(...all) - Math.min(...all)).toBeLessThan(400);
    expect(Math.max(...all)).toBeLessThan(32_768);
  });
});
