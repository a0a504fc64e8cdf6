/** Predicts what a model's engines can serve together. */

import type { Configuration } from '../configuration/configuration';
import type { Engine, ModelId } from '../engines/engine';
import { engineRate } from './engineRate';

/**
 * Tokens a second that the routable engines of a model reach together: the thinnest layer decides.
 * Every engine runs all of its layers for its share of the tokens, so the figure can be reached
 * where links do not bound it.
 *
 * @param configuration the objects
 * @param model the model
 * @returns 0 where a layer is not covered or the model is unknown
 */
export function predictModelThroughput(configuration: Configuration, model: ModelId): number {
  const layers = configuration.model.get(model)?.layers ?? 0;
  const engines = routableEngines(configuration, model);
  const cuts = [...new Set(engines.flatMap(({ layers: { from, to } }) => [from, to]))];
  const starts = [0, ...cuts.filter((cut) => cut > 0 && cut < layers)];
  if (layers === 0) return 0;
  return Math.min(...starts.map((layer) => layerRate(configuration, engines, layer)));
}

/** Engines of a model that may get work: not idle and not on a leaving backend server. */
export function routableEngines(configuration: Configuration, model: ModelId): readonly Engine[] {
  return [...configuration.engine.values()].filter(
    (engine) =>
      engine.model === model &&
      engine.role !== 'idle' &&
      configuration.backendServer.get(engine.id)?.leaving === false,
  );
}

function layerRate(
  configuration: Configuration,
  engines: readonly Engine[],
  layer: number,
): number {
  const holders = engines.filter(({ layers }) => layers.from <= layer && layer < layers.to);
  const rates = holders.map((engine) => {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    return kind === undefined ? 0 : engineRate(engine, kind);
  });
  return rates.reduce((sum, rate) => sum + rate, 0);
}
