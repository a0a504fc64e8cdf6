/** The shape of the shell's lookup tables of effect handlers: one for each side, one for all. */

import type { SharedEffect } from '../decisions/primitive';
import type { SideEffects, SideName } from './nodeMessage';

/** Effects that become events of other sides inside the joined reducer and never reach the shell. */
interface Crossed {
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

type Table<Effect extends { readonly type: string }, Left extends string> = {
  readonly [Type in Exclude<Effect['type'], Left>]: (
    effect: Extract<Effect, { readonly type: Type }>,
  ) => void;
};

/** Handlers of the effects of one side that no other side shares. */
export type SideInterpreters<Side extends SideName> = Table<
  SideEffects[Side],
  SharedEffect['type'] | Crossed[Side]
>;

/** Handlers of the effects that every side has. */
export type SharedInterpreters = {
  readonly [Type in SharedEffect['type']]: (
    effect: Extract<SharedEffect, { readonly type: Type }>,
    side: SideName,
  ) => void;
};
