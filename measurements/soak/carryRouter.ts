/** Streams at engines, and tokens to callers. */

import type { RouterEffect } from '../../src/requests/routerMessage';
import type { Carrier } from './carryOut';
import { deliver } from './deliver';
import { drawDelay } from './network';
import { runStream } from './runStream';

type EffectOf<Type extends RouterEffect['type']> = Extract<RouterEffect, { readonly type: Type }>;

export const carryRouter: Readonly<Record<string, Carrier>> = {
  'open-stream': (world, node, { order }: EffectOf<'open-stream'>) => {
    runStream(world, node, order);
  },
  'cancel-stream': (world, _node, { request, attempt }: EffectOf<'cancel-stream'>) => {
    world.schedule(drawDelay(world), () => {
      world.cancelled.add(`${request}/${attempt}`);
    });
  },
  'find-kv': (world, node, { request, attempt }: EffectOf<'find-kv'>) => {
    world.schedule(drawDelay(world), () => {
      const event = { type: 'kv-found', request, attempt, exports: [] } as const;
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
