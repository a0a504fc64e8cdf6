/**
 * What one side of a node tells another: effects that become events of other sides and never reach
 * the shell.
 */

import { hash32 } from '../hashing/hash32';
import type { Occurrence } from '../decisions/primitive';
import type { NodeEffect, NodeEvent, SideEffects, SideName } from './nodeMessage';

type Crossing<Effect> = (effect: Effect, occurrence: Occurrence) => readonly NodeEvent[];

type Crossings = {
  readonly [Side in SideName]: {
    readonly [Type in SideEffects[Side]['type']]?: Crossing<
      Extract<SideEffects[Side], { readonly type: Type }>
    >;
  };
};

const crossings: Crossings = {
  router: {
    'share-suspects': ({ suspects }, at) => [
      { side: 'fleet', event: { type: 'suspects-shared', suspects, ...at } },
    ],
    'share-use': ({ usage }, at) => [
      { side: 'fleet', event: { type: 'use-shared', usage, ...at } },
    ],
    'observe-server': ({ server, observation }, at) => [
      { side: 'fleet', event: { type: 'server-observed', server, observation, ...at } },
    ],
  },
  operations: {
    'observe-server': ({ server, observation }, at) => [
      { side: 'fleet', event: { type: 'server-observed', server, observation, ...at } },
    ],
  },
  fleet: {
    'configuration-applied': ({ configuration }, at) => {
      const event = { type: 'configuration-changed', configuration, ...at } as const;
      return [
        { side: 'router', event },
        { side: 'operations', event },
        { side: 'plans', event },
      ];
    },
    'configuration-accepted': ({ revision }, at) => [
      { side: 'plans', event: { type: 'configuration-accepted', revision, ...at } },
    ],
    'servers-changed': ({ servers }, at) => {
      const event = { type: 'servers-changed', servers, ...at } as const;
      return [
        { side: 'router', event },
        { side: 'operations', event },
        { side: 'plans', event },
      ];
    },
    'server-crashed': ({ server }, at) => [
      { side: 'router', event: { type: 'server-crashed', server, ...at } },
    ],
    'vms-changed': ({ vms }, at) => [
      { side: 'operations', event: { type: 'vms-changed', vms, ...at } },
    ],
    'load-learned': ({ report, ageMs }, at) => [
      { side: 'router', event: { type: 'load-reported', report, ageMs, ...at } },
    ],
    'suspects-learned': ({ suspects }, at) => [
      { side: 'router', event: { type: 'suspects-learned', suspects, ...at } },
    ],
    'use-learned': ({ usage, acceptingVms }, at) => [
      { side: 'router', event: { type: 'use-learned', usage, acceptingVms, ...at } },
    ],
    'accepting-changed': ({ isAccepting, reason }, at) => {
      const event = { type: 'accepting-changed', isAccepting, reason, ...at } as const;
      return [
        { side: 'router', event },
        { side: 'operations', event },
      ];
    },
  },
  plans: {
    'head-committed': ({ revision }, at) => [
      { side: 'fleet', event: { type: 'head-committed', revision, ...at } },
    ],
  },
};

/**
 * Turns an effect of one side into events of the others.
 *
 * @param item the effect and its side
 * @param occurrence when it arose; each event gets a seed of its own
 * @returns the events, or undefined where the effect is for the shell
 */
export function crossEffect(
  item: NodeEffect,
  occurrence: Occurrence,
): readonly NodeEvent[] | undefined {
  const table = crossings[item.side] as Readonly<Record<string, Crossing<unknown> | undefined>>;
  const crossing = table[item.effect.type];
  if (crossing === undefined) return undefined;
  const seed = hash32(item.effect.type, occurrence.seed);
  return crossing(item.effect, { atMs: occurrence.atMs, seed });
}
