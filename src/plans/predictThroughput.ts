/** Predicts the throughput of every service that a plan touches. */

import type { Configuration } from '../configuration/configuration';
import type { ModelId } from '../engines/engine';
import { serviceKey } from './configurationKeys';
import { servicesOf } from './neededThroughput';
import type { PredictedThroughput } from './plan';
import { predictModelThroughput } from './predictModelThroughput';

/**
 * Predicts before, during and after; services of one model share its engines, so each is given what
 * the model could serve alone.
 *
 * @param stages the configuration before, after each commit, and so the final one
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
  const isTouched = rates.some((rate) => rate !== before);
  return servicesOf(last, model)
    .map(({ workspace, id }) => serviceKey(workspace, id))
    .filter((service) => isTouched || stages[0]?.service.has(service) !== true)
    .map((service) => ({ service, before, during, after }));
}
