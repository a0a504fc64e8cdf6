/**
 * A model engine that costs next to nothing, on a thread of its own: it answers every stream with
 * right frames and right receipts as fast as they are taken, one write a token.
 */

import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { parentPort } from 'node:worker_threads';
import type { StreamOrder } from '../src/contracts/engineContract';
import type { TokenFrame } from '../src/requests/tokenFrame';

const ANSWERS: Readonly<Record<string, unknown>> = {
  '/v1/health': { state: 'live', incarnation: 'fast' },
  '/v1/cache-events': { events: [] },
};

async function answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const path = (request.url ?? '').split('?')[0] ?? '';
  if (request.method !== 'POST') {
    response.end(JSON.stringify(ANSWERS[path] ?? {}));
    return;
  }
  let body = '';
  for await (const chunk of request) body += String(chunk);
  const order = JSON.parse(body) as StreamOrder;
  for (let position = order.delivered.length; position < order.maxTokens; position += 1) {
    response.write(`${JSON.stringify({ type: 'frame', frame: createFrame(order, position) })}\n`);
    await setImmediate();
    if (response.destroyed) return;
  }
  response.end();
}

function createFrame(order: StreamOrder, position: number): TokenFrame {
  const { request, workspace, attempt, route, maxTokens } = order;
  const receipts = route.map(({ engine, layers }) => ({ engine, layers, attempt, position }));
  const frame = { request, workspace, attempt, position, token: 120, text: 'x', receipts };
  return position === maxTokens - 1 ? { ...frame, finish: 'length' } : frame;
}

const server = createServer((request, response) => {
  void answer(request, response);
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
