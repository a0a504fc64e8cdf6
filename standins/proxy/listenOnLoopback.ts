/**
 * Finds loopback ports for servers and processes. Each test process has a block of ports of its own, below the
 * system's ephemeral ports: a server that is closed for a moment, as a fault, must not lose its port to a server of
 * another process, which would then get its requests.
 */

import { createServer } from 'node:net';
import type { Server } from 'node:net';

const HOST = '127.0.0.1';

const FIRST_PORT = 8_000;
const PORTS_PER_BLOCK = 400;
const BLOCKS = 60;

/** Position of the next port in the block; the first one guards the block. */
let next = 1;
let claimedBlock: Promise<number> | undefined;

/**
 * Binds a server to a port of this process.
 *
 * @returns IP and port
 * @throws Error if all ports of the block are taken
 */
export async function listenOnLoopback(server: Server): Promise<string> {
  for (let tries = 0; tries < PORTS_PER_BLOCK; tries += 1) {
    const port = await takePort();
    if (await tryListen(server, port)) return `${HOST}:${port}`;
  }
  throw new Error('All ports of this process are taken');
}

/**
 * Finds addresses for processes that need a fixed listen address.
 *
 * @returns addresses that were free when probed, of this process's block
 */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const found: string[] = [];
  while (found.length < count) {
    const probe = createServer();
    const address = await listenOnLoopback(probe);
    await new Promise((resolve) => probe.close(resolve));
    found.push(address);
  }
  return found;
}

async function takePort(): Promise<number> {
  claimedBlock ??= claimBlock();
  const first = await claimedBlock;
  const port = first + next;
  next = next + 1 < PORTS_PER_BLOCK ? next + 1 : 1;
  return port;
}

/** Claims a block by its first port, which stays bound until the process ends. */
async function claimBlock(): Promise<number> {
  for (let tried = 0; tried < BLOCKS; tried += 1) {
    const first = FIRST_PORT + ((process.pid + tried) % BLOCKS) * PORTS_PER_BLOCK;
    const guard = createServer();
    if (await tryListen(guard, first)) {
      guard.unref();
      return first;
    }
  }
  throw new Error('All blocks of ports are claimed');
}

function tryListen(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const fail = (error: NodeJS.ErrnoException): void => {
      if (error.code === 'EADDRINUSE') resolve(false);
      else reject(error);
    };
    server.once('error', fail);
    server.listen(port, HOST, () => {
      server.off('error', fail);
      resolve(true);
    });
  });
}
