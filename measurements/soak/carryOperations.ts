/** Calls to plain services, forwards between VMs and answers to callers. */

import type { OperationEffect, OperationEvent } from '../../src/operations/operationMessage';
import type { Carrier } from './carryOut';
import { deliver } from './deliver';
import { finishDrain } from './finishDrain';
import { drawDelay, isCut } from './network';
import { runPlainCall } from './runPlainCall';
import type { SoakNode, World } from './soakWorld';

type EffectOf<Type extends OperationEffect['type']> = Extract<
  OperationEffect,
  { readonly type: Type }
>;

type ForwardResult = Extract<OperationEvent, { readonly type: 'forwarded' }>['result'];

/** Time after which a forward without an answer is given up, milliseconds. */
const FORWARD_TIMEOUT_MS = 2000;

export const carryOperations: Readonly<Record<string, Carrier>> = {
  'call-backend': runPlainCall,
  forward: (world, node, { vm, call }: EffectOf<'forward'>) => {
    const target = world.nodes.find((other) => other.vm.id === vm.id);
    const isGone = target?.isUp !== true || target.vm.incarnation !== vm.incarnation;
    if (isGone || isCut(world, node, target)) {
      world.schedule(drawDelay(world), () => {
        finishForward(world, node, call.call, { type: 'unreachable' });
      });
      return;
    }
    let isOpen = true;
    const finish = (result: ForwardResult): void => {
      if (!isOpen) return;
      isOpen = false;
      finishForward(world, node, call.call, result);
    };
    const id = `f${world.nextId}`;
    world.nextId += 1;
    target.waiting.set(id, (answer) => {
      world.schedule(drawDelay(world), () => {
        if (!isCut(world, target, node)) finish(answer as ForwardResult);
      });
    });
    world.schedule(drawDelay(world), () => {
      const forwarded = { ...call, call: id, forwardedBy: node.vm.id };
      const event = { type: 'call-received', call: forwarded } as const;
      deliver(world, target, { side: 'operations', event });
    });
    world.schedule(FORWARD_TIMEOUT_MS, () => {
      finish({ type: 'lost' });
    });
  },
  answer: (_world, node, { call, result }: EffectOf<'answer'>) => {
    const wait = node.waiting.get(call);
    node.waiting.delete(call);
    wait?.(result);
  },
  'grant-ticket': (_world, node, { call, ticket }: EffectOf<'grant-ticket'>) => {
    const wait = node.waiting.get(call);
    node.waiting.delete(call);
    wait?.({ type: 'granted', ticket });
  },
  'handed-over': (world, node) => {
    node.isHandedOver = true;
    finishDrain(world, node);
  },
};

function finishForward(world: World, node: SoakNode, call: string, result: ForwardResult): void {
  const event = { type: 'forwarded', call, result } as const;
  deliver(world, node, { side: 'operations', event });
}
