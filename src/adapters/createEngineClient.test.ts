import { Agent } from 'undici';
import { startEngine } from '../../standins/engine/startEngine';
import { startServer } from '../../standins/http/startServer';
import type { Server } from '../../standins/http/startServer';
import type { StreamMessage, StreamOrder } from '../contracts/engineContract';
import { createEngineClient } from './createEngineClient';
import type { EngineClient, StreamClose } from './createEngineClient';

const STATE = {
  model: 'm',
  modelVersion: '1',
  layers: { from: 0, to: 4 },
  role: 'mixed',
  leaving: false,
} as const;

describe('createEngineClient', () => {
  let server: Server;
  let dispatcher: Agent;
  let client: EngineClient;

  beforeEach(async () => {
    dispatcher = new Agent();
    client = createEngineClient(dispatcher);
    server = await startEngine({ id: 'e', state: STATE, stepMs: 0 });
  });

  afterEach(async () => {
    await dispatcher.destroy();
    await server.close();
  });

  const order = (): StreamOrder => ({
    request: 'r',
    workspace: 'w',
    attempt: 1,
    model: 'm',
    route: [{ engine: 'e', address: server, layers: { from: 0, to: 4 } }],
    prompt: [1],
    delivered: [],
    maxTokens: 3,
    priority: 'standard',
  });

  const stream = (sent: StreamOrder) =>
    new Promise<{ messages: StreamMessage[]; close: StreamClose }>((resolve) => {
      const messages: StreamMessage[] = [];
      client.openStream(sent, {
        onMessages: (more) => messages.push(...more),
        onClosed: (close) => {
          resolve({ messages, close });
        },
      });
    });

  const answerWith = async (body: string): Promise<void> => {
    await server.close();
    server = await startServer({
      handler: ({ response }) => {
        response.end(body);
        return undefined;
      },
    });
  };

  it('passes on every frame, then reports the end', async () => {
    const { messages, close } = await stream(order());
    expect(messages.map(({ type }) => type)).toEqual(['frame', 'frame', 'frame']);
    expect(close.cause).toBe('ended');
  });

  it('passes on a refusal that lacks a final line break', async () => {
    const { messages } = await stream({ ...order(), model: 'other' });
    expect(messages).toEqual([{ type: 'refused', reason: 'wrong-layers' }]);
  });

  it('reports unreachable if no connection was established', async () => {
    await server.close();
    expect((await stream(order())).close.cause).toBe('unreachable');
  });

  it('reports reset if the connection failed after the order was sent', async () => {
    await server.close();
    server = await startServer({
      handler: ({ request }) => {
        request.socket.destroy();
        return undefined;
      },
    });
    expect((await stream(order())).close.cause).toBe('reset');
  });

  it.each(['no JSON\n', '{"type":"frame"}\n', '{"type":"other"}\n'])(
    'reports reset and no message for a malformed line: %j',
    async (line) => {
      await answerWith(line);
      const { messages, close } = await stream(order());
      expect(messages).toEqual([]);
      expect(close.cause).toBe('reset');
    },
  );

  it('reads the state and the running work, and reports unreachable if the engine is down', async () => {
    const reading = await client.readState(server);
    expect(reading).toEqual({ type: 'state', state: STATE, fencing: 0, running: 0 });
    await server.close();
    expect(await client.readState(server)).toEqual({ type: 'unreachable' });
  });

  it('reports an order as lost on an existing connection, and as unreachable without one', async () => {
    const wanted = { ...STATE, role: 'idle' } as const;
    const sent = { engine: 'e', order: 'o', fencing: 2, expiresAtMs: Date.now() + 60_000, wanted };
    expect(await client.order(server, sent)).toEqual({ type: 'done', state: wanted });
    expect(await client.order(server, { ...sent, fencing: 1 })).toEqual({
      type: 'fenced',
      highest: 2,
    });
    await server.close();
    expect(await client.order(server, sent)).toEqual({ type: 'lost' });
    expect(await client.order(server, sent)).toEqual({ type: 'unreachable' });
  });
});
