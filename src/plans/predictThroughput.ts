/** Predicts the throughput of every service that a plan affects. */

import type { Configuration } from '../configuration/configuration';
import type { ModelId } from '../engines/engine';
import { formatServiceKey } from './configurationKeys';
import { listModelServices } from './computeNeededThroughput';
import type { PredictedThroughput } from './plan';
import { predictModelThroughput } from './predictModelThroughput';

/**
 * Predicts the throughput before, during and after the steps. Services of one model share its
 * engines, so the figure for each is what the model could serve for it alone.
 *
 * @param stages the configurations before the first step and after each commit
 * @returns one item for each model service whose figures differ between the stages
 */
export function predictThroughput(
  stages: readonly Configuration[],
): readonly PredictedThroughput[] {
  const last = stages.at(-1);
  if (last === undefined) return [];
  return [...last.model.keys()].flatMap((model) => predictModel(stages, last, model));
}

function predictModel(
  stages: readonly Configuration[],
  last: Configuration,
  model: ModelId,
): readonly PredictedThroughput[] {
  const rates = stages.map((stage) => predictModelThroughput(stage, model));
  const before = rates[0] ?? 0;
  const after = rates.at(-1) ?? 0;
  const during = Math.min(...rates);
  const hasChanged = rates.some((rate) => rate !== before);
  return listModelServices(last, model)
    .map(({ workspace, id }) => formatServiceKey(workspace, id))
    .filter((service) => hasChanged || stages[0]?.service.has(service) !== true)
    .map((service) => ({ service, before, during, after }));
}
