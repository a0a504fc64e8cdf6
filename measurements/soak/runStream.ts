/** Engines that run a stream token by token, and may crash, stall or send wrong frames. */

import { embedSequence, decodeToken, runLayers } from '../../standins/engine/computeToken';
import type { StreamMessage, StreamOrder } from '../../src/contracts/engineContract';
import type { TokenFrame } from '../../src/requests/tokenFrame';
import { deliver } from './deliver';
import { drawDelay } from './network';
import type { SoakNode, World } from './soakWorld';

/** Time between two tokens, milliseconds. */
const TOKEN_MS = 15;

/** Share of frames that are tampered with while an engine is faulty. */
const WRONG_SHARE = 0.3;

interface Stream {
  readonly node: SoakNode;
  readonly order: StreamOrder;
  readonly tokens: number[];
  /** Lives of the engines of the route when the stream was opened. */
  readonly lives: readonly number[];
}

/** Opens the stream, or says that the first engine can't be reached. */
export function runStream(world: World, node: SoakNode, order: StreamOrder): void {
  world.schedule(drawDelay(world), () => {
    const first = world.engines.get(order.route[0]?.engine ?? '');
    if (first === undefined || world.nowMs < first.downUntilMs) {
      close(world, { node, order }, 'unreachable');
      return;
    }
    world.started.add(order.request);
    const lives = order.route.map(({ engine }) => world.engines.get(engine)?.life ?? 0);
    stepStream(world, { node, order, tokens: [...order.prompt, ...order.delivered], lives });
  });
}

function stepStream(world: World, stream: Stream): void {
  const { order, tokens, lives } = stream;
  if (world.cancelled.has(`${order.request}/${order.attempt}`)) return;
  const failed = order.route.find(({ engine }, index) => {
    const known = world.engines.get(engine);
    return known === undefined || known.life !== lives[index] || world.nowMs < known.downUntilMs;
  });
  if (failed !== undefined) {
    if (failed === order.route[0]) close(world, stream, 'reset');
    else {
      const engine = failed.engine;
      send(world, stream, { type: 'stage-failed', engine, detail: 'the next stage is gone' });
    }
    return;
  }
  const engines = order.route.flatMap(({ engine }) => world.engines.get(engine) ?? []);
  const stalledUntilMs = Math.max(...engines.map((engine) => engine.stalledUntilMs));
  if (world.nowMs < stalledUntilMs) {
    world.schedule(stalledUntilMs - world.nowMs, () => {
      stepStream(world, stream);
    });
    return;
  }
  const frame = computeFrame(stream);
  const isWrong = engines.some(({ wrongUntilMs }) => world.nowMs < wrongUntilMs);
  const frames = isWrong && world.random.next() < WRONG_SHARE ? tamper(world, frame) : [frame];
  for (const each of frames) send(world, stream, { type: 'frame', frame: each });
  tokens.push(frame.token);
  if (frame.finish === undefined) {
    world.schedule(TOKEN_MS, () => {
      stepStream(world, stream);
    });
  } else close(world, stream, 'ended');
}

function computeFrame({ order, tokens }: Stream): TokenFrame {
  const { request, workspace, attempt, route, prompt, maxTokens } = order;
  const position = tokens.length - prompt.length;
  const activation = route.reduce(
    (value, { layers }) => runLayers(value, layers),
    embedSequence(order.model, tokens),
  );
  const { token, text, isStop } = decodeToken(activation);
  const receipts = route.map(({ engine, layers }) => ({ engine, layers, attempt, position }));
  const frame = { request, workspace, attempt, position, token, text, receipts };
  if (isStop) return { ...frame, finish: 'stop' };
  return position + 1 >= maxTokens ? { ...frame, finish: 'length' } : frame;
}

/** Frames that must never reach a caller as they are. */
function tamper(world: World, frame: TokenFrame): readonly TokenFrame[] {
  const [first, ...rest] = frame.receipts;
  const variants: readonly (readonly TokenFrame[])[] = [
    [frame, frame],
    [{ ...frame, token: frame.token + 1, receipts: rest }],
    [{ ...frame, token: frame.token + 1, attempt: frame.attempt - 1 }, frame],
    [{ ...frame, token: frame.token + 1, position: frame.position + 1 }, frame],
    [{ ...frame, token: frame.token + 1, request: `${frame.request}x` }, frame],
    [{ ...frame, receipts: first === undefined ? rest : [first, first, ...rest] }],
  ];
  return world.random.pick(variants);
}

function send(world: World, { node, order }: Stream, message: StreamMessage): void {
  const { request, attempt } = order;
  world.schedule(drawDelay(world), () => {
    const event = { type: 'stream-message', request, attempt, message } as const;
    deliver(world, node, { side: 'router', event });
  });
}

function close(
  world: World,
  { node, order }: Pick<Stream, 'node' | 'order'>,
  cause: 'ended' | 'reset' | 'unreachable',
): void {
  const { request, attempt } = order;
  world.schedule(drawDelay(world) + 20, () => {
    const event = { type: 'stream-closed', request, attempt, cause, detail: cause } as const;
    deliver(world, node, { side: 'router', event });
  });
}
