/** What the bound of a configuration's one model is worked out from. */

import type { Configuration } from '../src/configuration/configuration';
import type { PipelineInput } from '../src/pipelines/pipelineInput';
import type { Workload } from '../src/pipelines/workload';

/** @returns the whole fleet, every engine at full weight */
export function fleetOf(configuration: Configuration, workload: Workload): PipelineInput {
  const [model] = configuration.model.values();
  if (model === undefined) throw new RangeError('No model is configured');
  return {
    model,
    engines: [...configuration.engine.values()],
    acceleratorKinds: configuration.acceleratorKind,
    failureDomainOf: (engine) => configuration.backendServer.get(engine)?.failureDomain ?? '',
    weightOf: () => 1,
    links: [...configuration.link.values()],
    workload,
  };
}
