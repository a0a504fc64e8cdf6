/** Binds servers of the soak to free loopback ports. */

import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

/** @returns IP and port */
export async function listenLocally(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** First and last port for processes; below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 31_000;

/** @returns addresses that were free a moment ago, for processes that are told where to listen */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const found: string[] = [];
  for (let port = FIRST_PORT + nextOffset(); found.length < count; port += 1) {
    if (port > LAST_PORT) port = FIRST_PORT;
    if (await isFree(port)) found.push(`127.0.0.1:${port}`);
  }
  return found;
}

/** Ports of one call, and calls of one process: neither meets another, also of a soak beside it. */
const PORTS_PER_CALL = 16;
const CALLS_PER_PROCESS = 331;
let calls = 0;

function nextOffset(): number {
  calls += 1;
  const place = process.pid * CALLS_PER_PROCESS + calls;
  return (place * PORTS_PER_CALL) % (LAST_PORT - FIRST_PORT);
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
