/** Streams at engines, and tokens to callers. */

import type { RouterEffect } from '../../src/requests/routerMessage';
import type { Carrier } from './carryOut';
import { deliver } from './deliver';
import { drawDelay } from './network';
import { runStream } from './runStream';
import type { World } from './soakWorld';

type EffectOf<Type extends RouterEffect['type']> = Extract<RouterEffect, { readonly type: Type }>;

function isUp({ engines, nowMs }: World, engine: string): boolean {
  const fake = engines.get(engine);
  return fake !== undefined && fake.downUntilMs <= nowMs && fake.stalledUntilMs <= nowMs;
}

export const carryRouter: Readonly<Record<string, Carrier>> = {
  'open-stream': (world, node, { order }: EffectOf<'open-stream'>) => {
    runStream(world, node, order);
  },
  'cancel-stream': (world, _node, { request, attempt }: EffectOf<'cancel-stream'>) => {
    world.schedule(drawDelay(world), () => {
      world.cancelled.add(`${request}/${attempt}`);
    });
  },
  'find-kv': (world, node, { request, attempt, stages }: EffectOf<'find-kv'>) => {
    world.schedule(drawDelay(world), () => {
      const answered = stages.map((stage) => stage.engine).filter((engine) => isUp(world, engine));
      const event = { type: 'kv-found', request, attempt, exports: [], answered } as const;
      deliver(world, node, { side: 'router', event });
    });
  },
  deliver: (_world, node, { request, frame }: EffectOf<'deliver'>) => {
    node.waiting.get(request)?.({ type: 'frame', frame });
  },
  finish: (_world, node, { request, finish }: EffectOf<'finish'>) => {
    const wait = node.waiting.get(request);
    node.waiting.delete(request);
    wait?.({ type: 'finish', finish });
  },
  refuse: (_world, node, { request, refusal }: EffectOf<'refuse'>) => {
    const wait = node.waiting.get(request);
    node.waiting.delete(request);
    wait?.({ type: 'refused', refusal });
  },
};
