/** Finds free loopback ports for servers and processes. */

import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

/**
 * Binds a server to a free loopback port.
 *
 * @returns IP and port
 */
export async function listenOnLoopback(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Port range for processes, below the system's ephemeral ports for outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 31_000;

/**
 * Finds addresses for processes that need a fixed listen address.
 *
 * @returns addresses that were free when probed; another process can still take them
 */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const found: string[] = [];
  for (let port = FIRST_PORT + nextPortOffset(); found.length < count; port += 1) {
    if (port > LAST_PORT) port = FIRST_PORT;
    if (await isFree(port)) found.push(`127.0.0.1:${port}`);
  }
  return found;
}

/** Each call, and each process, searches its own block of ports, so that parallel soaks don't collide. */
const PORTS_PER_CALL = 16;
const CALLS_PER_PROCESS = 331;
let calls = 0;

function nextPortOffset(): number {
  calls += 1;
  const block = process.pid * CALLS_PER_PROCESS + calls;
  return (block * PORTS_PER_CALL) % (LAST_PORT - FIRST_PORT);
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
