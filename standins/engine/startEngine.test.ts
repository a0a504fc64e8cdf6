import { request } from 'undici';
import type { StreamMessage, StreamOrder } from '../../src/contracts/engineContract';
import type { Server } from '../http/startServer';
import { computeAnswer } from './computeToken';
import { startEngine } from './startEngine';

const layers = 6;
const prompt = [104, 105];
const maxTokens = 5;
const servers: Server[] = [];

async function start(id: string, from: number, to: number): Promise<Server> {
  const state = {
    model: 'draft',
    modelVersion: '1',
    layers: { from, to },
    role: 'mixed',
    leaving: false,
  } as const;
  const server = await startEngine({ id, state, stepMs: 0 });
  servers.push(server);
  return server;
}

async function post(server: Server, path: string, body: unknown): Promise<string> {
  const url = `http://${server.host}:${server.port}${path}`;
  const answer = await request(url, { method: 'POST', body: JSON.stringify(body) });
  return answer.body.text();
}

function readMessages(text: string): readonly StreamMessage[] {
  const lines = text.split('\n').filter((line) => line !== '');
  return lines.map((line) => JSON.parse(line) as StreamMessage);
}

function createOrder(first: Server, second: Server): StreamOrder {
  return {
    request: 'r1',
    workspace: 'kiambu',
    attempt: 1,
    model: 'draft',
    prompt,
    delivered: [],
    maxTokens,
    priority: 'standard',
    route: [
      { engine: 'e1', address: first, layers: { from: 0, to: 2 } },
      { engine: 'e2', address: second, layers: { from: 2, to: layers } },
    ],
  };
}

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

describe('startEngine', () => {
  it('streams the complete answer over two stages with receipts that cover each layer once', async () => {
    const first = await start('e1', 0, 3);
    const order = createOrder(first, await start('e2', 2, layers));
    const messages = readMessages(await post(first, '/v1/streams', order));
    const frames = messages.flatMap((message) => (message.type === 'frame' ? message.frame : []));
    const answer = computeAnswer({ id: 'draft', layers }, prompt, maxTokens);
    expect(frames.map((frame) => frame.text).join('')).toBe(answer);
    expect(frames.at(-1)?.finish).toBeDefined();
    expect(frames[0]?.receipts.map((receipt) => receipt.layers)).toEqual([
      { from: 0, to: 2 },
      { from: 2, to: layers },
    ]);
  });

  it('names a stage that does not answer', async () => {
    const first = await start('e1', 0, 3);
    const second = await start('e2', 2, layers);
    await second.close();
    const text = await post(first, '/v1/streams', createOrder(first, second));
    expect(readMessages(text)).toMatchObject([{ type: 'stage-failed', engine: 'e2' }]);
  });

  it('refuses an order with a lower fencing number', async () => {
    const engine = await start('e1', 0, 3);
    const wanted = {
      model: 'draft',
      modelVersion: '1',
      layers: { from: 0, to: 3 },
      role: 'mixed',
      leaving: false,
    };
    const order = { engine: 'e1', order: 'o', expiresAtMs: Number.MAX_SAFE_INTEGER, wanted };
    const high = JSON.parse(await post(engine, '/v1/orders', { ...order, fencing: 5 })) as unknown;
    const low = JSON.parse(await post(engine, '/v1/orders', { ...order, fencing: 4 })) as unknown;
    expect(high).toMatchObject({ type: 'done' });
    expect(low).toEqual({ type: 'fenced', highest: 5 });
  });
});
