/** Answers to operators, and engines that take every order. */

import type { PlanEffect } from '../../src/plans/planMessage';
import type { Carrier } from './carryOut';
import { deliver } from './deliver';
import { drawDelay } from './network';

type EffectOf<Type extends PlanEffect['type']> = Extract<PlanEffect, { readonly type: Type }>;

export const carryPlans: Readonly<Record<string, Carrier>> = {
  answer: (_world, node, { call, status, body }: EffectOf<'answer'>) => {
    const wait = node.waiting.get(call);
    node.waiting.delete(call);
    wait?.({ status, body });
  },
  'order-engine': (world, node, { call, order }: EffectOf<'order-engine'>) => {
    world.schedule(drawDelay(world), () => {
      const result = { type: 'done', state: order.wanted } as const;
      deliver(world, node, { side: 'plans', event: { type: 'order-answered', call, result } });
    });
  },
  'read-engine': (world, node, { call }: EffectOf<'read-engine'>) => {
    world.schedule(drawDelay(world), () => {
      const result = { type: 'unreachable' } as const;
      deliver(world, node, { side: 'plans', event: { type: 'engine-read', call, result } });
    });
  },
};
