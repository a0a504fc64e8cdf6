/**
 * What one daemon's thread takes for a request and for a token: the stream of an engine is read,
 * checked by the pass ledger and written to the caller as server-sent events. Engine and callers run
 * on threads of their own. Time is that in which the daemon's event loop was not idle.
 */

import { once } from 'node:events';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { Worker } from 'node:worker_threads';
import { CALLER_TOKEN, startTestSite } from '../src/node/testSite';
import { MS_PER_SECOND } from '../src/units';
import type { Measurement } from './measurement';
import type { ReaderTask } from './streamReaderWorker';

/** Answers by their length; the number of requests keeps each part to some seconds. */
const PARTS = [
  { tokens: 10, requests: 2000 },
  { tokens: 200, requests: 300 },
  { tokens: 2000, requests: 30 },
] as const;

const CONCURRENCY = 32;

interface Part {
  readonly tokens: number;
  readonly requests: number;
  readonly whole: number;
  readonly wallMs: number;
  readonly busyMs: number;
}

/** Measures one daemon with three lengths of answer. */
export const daemon: Measurement = async (_options, print) => {
  const engine = new Worker(join(__dirname, 'fastEngineWorker.js'));
  const readers = new Worker(join(__dirname, 'streamReaderWorker.js'));
  const [port] = (await once(engine, 'message')) as [number];
  const server = { host: '127.0.0.1', port, close: () => Promise.resolve() };
  const site = await startTestSite({ engines: [server, server, server, server] });
  const run = async (requests: number, tokens: number): Promise<Part> => {
    const task: ReaderTask = {
      url: site.url,
      token: CALLER_TOKEN,
      requests,
      tokens,
      concurrency: CONCURRENCY,
    };
    const before = performance.eventLoopUtilization();
    const startedAt = performance.now();
    readers.postMessage(task);
    const [whole] = (await once(readers, 'message')) as [number];
    const { active: busyMs } = performance.eventLoopUtilization(before);
    return { requests, tokens, whole, busyMs, wallMs: performance.now() - startedAt };
  };
  try {
    await run(200, 50);
    const parts: Part[] = [];
    for (const { requests, tokens } of PARTS) {
      const part = await run(requests, tokens);
      parts.push(part);
      print(describePart(part));
    }
    return summarise(parts);
  } finally {
    await site.stop();
    await Promise.all([engine.terminate(), readers.terminate()]);
  }
};

function describePart(part: Part): string {
  const { requests, tokens, whole, wallMs, busyMs } = part;
  const perToken = ((busyMs * MS_PER_SECOND) / (whole * tokens)).toFixed(1);
  const rate = Math.round((whole * tokens * MS_PER_SECOND) / wallMs);
  return (
    `${tokens} tokens: ${whole} of ${requests} whole, ${Math.round(wallMs)} ms, loop busy ` +
    `${Math.round(busyMs)} ms, ${perToken} us a token in all, ${rate} tokens/s`
  );
}

/** Cost of a start and of a token: the line through the shortest and the longest answer. */
function summarise(parts: readonly Part[]): Readonly<Record<string, unknown>> {
  const costs = parts.map(({ tokens, whole, busyMs }) => ({
    tokens,
    micros: (busyMs * 1000) / whole,
  }));
  const [short, , long] = costs;
  const tokenMicros =
    short && long ? (long.micros - short.micros) / (long.tokens - short.tokens) : Number.NaN;
  const startMicros = short ? short.micros - short.tokens * tokenMicros : Number.NaN;
  return {
    measurement: 'daemon',
    cut: parts.reduce((sum, { requests, whole }) => sum + requests - whole, 0),
    microsPerRequest: costs.map(({ tokens, micros }) => ({ tokens, micros: Math.round(micros) })),
    tokenMicros: Number(tokenMicros.toFixed(1)),
    startMicros: Math.round(startMicros),
    tokensPerSecondOnOneCore: Math.round(1e6 / tokenMicros),
    startsPerSecondOnOneCore: Math.round(1e6 / startMicros),
  };
}
