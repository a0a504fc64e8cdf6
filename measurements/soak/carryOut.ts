/** Carries out the effects of a node: a table of handlers over the fakes. */

import { carryFleet } from './carryFleet';
import { carryOperations } from './carryOperations';
import { carryPlans } from './carryPlans';
import { carryRouter } from './carryRouter';
import { carryShared } from './carryShared';
import type { SoakEffect, SoakNode, World } from './soakWorld';

/** A handler of one type of effect. */
export type Carrier = (world: World, node: SoakNode, effect: never, side: string) => void;

const carriers: Readonly<Record<string, Readonly<Record<string, Carrier>>>> = {
  router: carryRouter,
  operations: carryOperations,
  fleet: carryFleet,
  plans: carryPlans,
};

/** Hands the effect to the handler of its side and type, or to the one that all sides share. */
export function carryOut(world: World, node: SoakNode, { side, effect }: SoakEffect): void {
  const carry = carriers[side]?.[effect.type] ?? carryShared[effect.type];
  carry?.(world, node, effect as never, side);
}
