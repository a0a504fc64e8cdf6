/** Predicts the throughput of a model's engines together. */

import type { Configuration } from '../configuration/configuration';
import type { Engine, ModelId } from '../engines/engine';
import { computeEngineRate } from './computeEngineRate';

/**
 * Predicts the tokens a second that the routable engines of a model reach together. The layer with
 * the lowest total rate is the limit. Every engine runs all of its layers for its share of the
 * tokens, so the figure can be reached where links do not limit it.
 *
 * @param configuration the objects
 * @param model the model
 * @returns 0 if a layer is not covered or the model is unknown
 */
export function predictModelThroughput(configuration: Configuration, model: ModelId): number {
  const layers = configuration.model.get(model)?.layers ?? 0;
  const engines = listRoutableEngines(configuration, model);
  const boundaries = [...new Set(engines.flatMap(({ layers: { from, to } }) => [from, to]))];
  const starts = [0, ...boundaries.filter((boundary) => boundary > 0 && boundary < layers)];
  if (layers === 0) return 0;
  return Math.min(...starts.map((layer) => computeLayerRate(configuration, engines, layer)));
}

/** Lists the engines of a model that may get work: not idle and not on a leaving backend server. */
export function listRoutableEngines(
  configuration: Configuration,
  model: ModelId,
): readonly Engine[] {
  return [...configuration.engine.values()].filter(
    (engine) =>
      engine.model === model &&
      engine.role !== 'idle' &&
      configuration.backendServer.get(engine.id)?.leaving === false,
  );
}

function computeLayerRate(
  configuration: Configuration,
  engines: readonly Engine[],
  layer: number,
): number {
  const holders = engines.filter(({ layers }) => layers.from <= layer && layer < layers.to);
  const rates = holders.map((engine) => {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    return kind === undefined ? 0 : computeEngineRate(engine, kind);
  });
  return rates.reduce((sum, rate) => sum + rate, 0);
}
