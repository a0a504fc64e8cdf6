/** Solves the linear program of a pipeline's throughput. */

import { solve } from 'yalps';
import { buildFlowProgram, type FlowEdge } from './buildFlowProgram';
import type { EngineClass } from './engineClass';
import type { PipelineInput } from './pipelineInput';

/** A rate on an edge of the flow network, tokens a second. */
export interface EdgeFlow {
  readonly edge: FlowEdge;
  readonly tokensPerSecond: number;
}

/** Maximum number of simplex pivots; the solver then returns the best flow found so far. */
const MAX_PIVOTS = 20_000;

/** Minimum rate that is not a rounding error, tokens a second. */
const MIN_RATE = 1e-3;

/**
 * @param input the model and the capacity of its engines and links
 * @param classes the engines, grouped into classes
 * @param boundaries layer boundaries at which stages may meet
 * @param hopCost cost of a stage in the objective
 * @returns the edges that carry tokens; none if no chain of classes holds every layer
 */
export function solveFlow(
  input: PipelineInput,
  classes: readonly EngineClass[],
  boundaries: readonly number[],
  hopCost: number,
): readonly EdgeFlow[] {
  const { program, edges } = buildFlowProgram(input, classes, boundaries, hopCost);
  const solution = solve(program, { maxPivots: MAX_PIVOTS });
  return solution.variables.flatMap(([name, tokensPerSecond]) => {
    const edge = edges.get(name);
    if (edge === undefined || tokensPerSecond < MIN_RATE) return [];
    return [{ edge, tokensPerSecond }];
  });
}
