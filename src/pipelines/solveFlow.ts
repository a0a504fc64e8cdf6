/** Solves the linear program of a pipeline's throughput. */

import { solve } from 'yalps';
import { buildFlowProgram, type FlowEdge } from './buildFlowProgram';
import type { EngineClass } from './engineClass';
import type { Fleet } from './fleet';

/** A rate on an edge of the flow network, tokens a second. */
export interface EdgeFlow {
  readonly edge: FlowEdge;
  readonly tokensPerSecond: number;
}

/** Pivots after which the best flow found so far is taken. */
const MAX_PIVOTS = 20_000;

/** Rates below this are rounding errors, tokens a second. */
const LEAST_RATE = 1e-3;

/**
 * @param fleet the model and what its engines and links can do
 * @param classes the engines in classes
 * @param cuts borders between layers at which stages may meet
 * @param hopCost what a stage costs the objective
 * @returns the edges that carry tokens; none where no chain of classes holds every layer
 */
export function solveFlow(
  fleet: Fleet,
  classes: readonly EngineClass[],
  cuts: readonly number[],
  hopCost: number,
): readonly EdgeFlow[] {
  const { program, edges } = buildFlowProgram(fleet, classes, cuts, hopCost);
  const solution = solve(program, { maxPivots: MAX_PIVOTS });
  return solution.variables.flatMap(([name, tokensPerSecond]) => {
    const edge = edges.get(name);
    if (edge === undefined || tokensPerSecond < LEAST_RATE) return [];
    return [{ edge, tokensPerSecond }];
  });
}
