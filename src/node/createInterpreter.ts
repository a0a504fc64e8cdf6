/** Finds the handler of each effect that leaves the joined reducer. */

import type { SharedInterpreters, SideInterpreters } from './interpreters';
import type { NodeEffect, SideName } from './nodeMessage';

export interface InterpreterTables {
  readonly shared: SharedInterpreters;
  readonly sides: { readonly [Side in SideName]: SideInterpreters<Side> };
}

type Handler = (effect: NodeEffect['effect'], side: SideName) => void;

/**
 * Joins the lookup tables; an effect that none of them knows throws.
 *
 * @param tables the table of each side and the shared one
 */
export function createInterpreter(tables: InterpreterTables): (item: NodeEffect) => void {
  const shared = tables.shared as Readonly<Record<string, unknown>>;
  const sides = tables.sides as Readonly<Record<SideName, Readonly<Record<string, unknown>>>>;
  return ({ side, effect }) => {
    const handler = shared[effect.type] ?? sides[side][effect.type];
    if (handler === undefined) throw new TypeError(`No interpreter for ${side} ${effect.type}`);
    (handler as Handler)(effect, side);
  };
}
