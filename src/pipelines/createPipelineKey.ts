/** Creates a key that identifies the input of a pipeline plan, to detect when replanning is needed. */

import type { PipelineInput } from './pipelineInput';

/**
 * @param input the planning input
 * @returns a string that is equal for equal inputs and differs whenever the plan could
 */
export function createPipelineKey(input: PipelineInput): string {
  const engines = input.engines.map((engine) => [
    engine.id,
    engine.layers.from,
    engine.layers.to,
    engine.acceleratorKind,
    engine.accelerators,
    engine.uplinkBytesPerSecond,
    engine.role,
    input.failureDomainOf(engine.id),
    input.weightOf(engine.id),
  ]);
  const kinds = new Set(input.engines.map((engine) => engine.acceleratorKind));
  const figures = [...kinds].map((kind) => input.acceleratorKinds.get(kind));
  return JSON.stringify([input.model, input.workload, figures, input.links, engines]);
}
