/** Types of the tables of effect handlers: one for each component, and one for the shared effects. */

import type { SharedEffect } from '../decisions/primitive';
import type { ComponentEffects, ComponentName } from './nodeMessage';

/** Effects that the combined reducer turns into events of other components and does not return. */
interface DispatchedEffects {
  readonly router: 'share-suspects' | 'share-use' | 'observe-server';
  readonly operations: 'observe-server';
  readonly fleet:
    | 'configuration-applied'
    | 'configuration-accepted'
    | 'servers-changed'
    | 'server-crashed'
    | 'vms-changed'
    | 'load-learned'
    | 'suspects-learned'
    | 'use-learned'
    | 'accepting-changed';
  readonly plans: 'head-committed';
}

type EffectHandlers<Effect extends { readonly type: string }, Excluded extends string> = {
  readonly [Type in Exclude<Effect['type'], Excluded>]: (
    effect: Extract<Effect, { readonly type: Type }>,
  ) => void;
};

/** Handlers of the effects that only one component has. */
export type ComponentEffectHandlers<Component extends ComponentName> = EffectHandlers<
  ComponentEffects[Component],
  SharedEffect['type'] | DispatchedEffects[Component]
>;

/** Handlers of the effects that all components share. */
export type SharedEffectHandlers = {
  readonly [Type in SharedEffect['type']]: (
    effect: Extract<SharedEffect, { readonly type: Type }>,
    side: ComponentName,
  ) => void;
};
