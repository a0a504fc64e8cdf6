/**
 * Turns effects of one component of a node into events of the others. These effects never reach the
 * daemon's effect handlers.
 */

import { hash32 } from '../hashing/hash32';
import type { Occurrence } from '../decisions/primitive';
import type { NodeEffect, NodeEvent, ComponentEffects, ComponentName } from './nodeMessage';

type EffectMapping<Effect> = (effect: Effect, occurrence: Occurrence) => readonly NodeEvent[];

type EffectMappings = {
  readonly [Component in ComponentName]: {
    readonly [Type in ComponentEffects[Component]['type']]?: EffectMapping<
      Extract<ComponentEffects[Component], { readonly type: Type }>
    >;
  };
};

const effectMappings: EffectMappings = {
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
 * Turns an effect of one component into events of the others.
 *
 * @param item the effect and its component
 * @param occurrence occurrence of the event that caused the effect; its seed is hashed with the effect's type
 * @returns the events, or undefined if the daemon's effect handlers carry out the effect
 */
export function dispatchEffect(
  item: NodeEffect,
  occurrence: Occurrence,
): readonly NodeEvent[] | undefined {
  const componentMappings = effectMappings[item.side] as Readonly<
    Record<string, EffectMapping<unknown> | undefined>
  >;
  const mapToEvents = componentMappings[item.effect.type];
  if (mapToEvents === undefined) return undefined;
  const seed = hash32(item.effect.type, occurrence.seed);
  return mapToEvents(item.effect, { atMs: occurrence.atMs, seed });
}
