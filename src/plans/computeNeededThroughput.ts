/** Computes the throughput that the services of a model need. */

import type { Configuration } from '../configuration/configuration';
import type { ModelId } from '../engines/engine';
import type { ModelService } from '../services/service';

/** Need of a service that states none: the model has to run at all, tokens a second. */
const MIN_TOKENS_PER_SECOND = 1;

/** Lists the model services that use a model. */
export function listModelServices(
  configuration: Configuration,
  model: ModelId,
): readonly ModelService[] {
  return [...configuration.service.values()].filter(
    (service): service is ModelService => service.kind === 'model' && service.model === model,
  );
}

/** Adds up the needs of a model's services, tokens a second; 0 without services. */
export function computeNeededThroughput(configuration: Configuration, model: ModelId): number {
  return listModelServices(configuration, model)
    .map((service) => service.neededTokensPerSecond ?? MIN_TOKENS_PER_SECOND)
    .reduce((sum, needed) => sum + needed, 0);
}
