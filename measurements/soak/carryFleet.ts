/** Datagrams, messages, the membership list and probes, with loss, cuts and delay. */

import type { FleetEffect } from '../../src/vms/fleetMessage';
import type { Carrier } from './carryOut';
import { deliver } from './deliver';
import { finishDrain } from './finishDrain';
import { drawDelay, HELD_UP_DATAGRAM_MS, isCut, isStoreCut } from './network';

type EffectOf<Type extends FleetEffect['type']> = Extract<FleetEffect, { readonly type: Type }>;

/** Share of datagrams that are lost. */
const LOSS = 0.01;

/** Time after which a probe without an answer is given up, milliseconds. */
const PROBE_TIMEOUT_MS = 1000;

/** Lag of the membership list, milliseconds. */
const LIST_MS = 20;

type ProbeResult = 'live' | 'leaving' | 'unreachable';

export const carryFleet: Readonly<Record<string, Carrier>> = {
  'send-datagram': (world, node, { to, body }: EffectOf<'send-datagram'>) => {
    const target = world.nodes.find(({ vm }) => vm.addresses.gossip.host === to.host);
    if (target === undefined || world.random.next() < LOSS || isCut(world, node, target)) return;
    const from = node.vm.addresses.gossip;
    world.schedule(drawDelay(world, HELD_UP_DATAGRAM_MS), () => {
      deliver(world, target, { side: 'fleet', event: { type: 'datagram-received', from, body } });
    });
  },
  'send-message': (world, node, { to, body }: EffectOf<'send-message'>) => {
    const target = world.nodes.find(({ vm }) => vm.id === to.id);
    if (target === undefined || isCut(world, node, target)) return;
    const from = node.vm.id;
    world.schedule(drawDelay(world), () => {
      deliver(world, target, { side: 'fleet', event: { type: 'message-received', from, body } });
    });
  },
  'list-vms': (world, node) => {
    const vms = world.nodes
      .filter(({ isUp }) => isUp)
      .map(({ vm }) => ({ vm: { ...vm, incarnation: 0 }, state: 'live' as const }));
    const result = isStoreCut(world, node)
      ? ({ type: 'unavailable', detail: 'down' } as const)
      : ({ type: 'listed', vms } as const);
    world.schedule(LIST_MS, () => {
      deliver(world, node, { side: 'fleet', event: { type: 'listed', result } });
    });
  },
  'probe-server': (world, node, { server, askedAtMs }: EffectOf<'probe-server'>) => {
    const known = world.servers.get(server) ?? world.engines.get(server);
    let isOpen = true;
    const finish = (result: ProbeResult): void => {
      if (!isOpen) return;
      isOpen = false;
      const incarnation = String(known?.life ?? 0);
      const event = { type: 'probe-answered', server, result, incarnation, askedAtMs } as const;
      deliver(world, node, { side: 'fleet', event });
    };
    world.schedule(PROBE_TIMEOUT_MS, () => {
      finish('unreachable');
    });
    world.schedule(drawDelay(world), () => {
      const isDown = known === undefined || world.nowMs < known.downUntilMs;
      const isLeaving =
        known !== undefined &&
        'leavingUntilMs' in known &&
        world.nowMs >= known.leavingSinceMs &&
        world.nowMs < known.leavingUntilMs;
      const result = isDown ? 'unreachable' : isLeaving ? 'leaving' : 'live';
      world.schedule(drawDelay(world), () => {
        finish(result);
      });
    });
  },
  drained: (world, node) => {
    node.isDrained = true;
    finishDrain(world, node);
  },
};
