/** What the services of a model ask of it. */

import type { Configuration } from '../configuration/configuration';
import type { ModelId } from '../engines/engine';
import type { ModelService } from '../services/service';

/** What a service without a stated need asks: that the model runs at all, tokens a second. */
const LEAST_TOKENS_PER_SECOND = 1;

/** Model services on a model. */
export function servicesOf(configuration: Configuration, model: ModelId): readonly ModelService[] {
  return [...configuration.service.values()].filter(
    (service): service is ModelService => service.kind === 'model' && service.model === model,
  );
}

/** Sum of what the services of a model need, tokens a second; 0 without services. */
export function neededThroughput(configuration: Configuration, model: ModelId): number {
  return servicesOf(configuration, model)
    .map((service) => service.neededTokensPerSecond ?? LEAST_TOKENS_PER_SECOND)
    .reduce((sum, needed) => sum + needed, 0);
}
