/** Finds the borders between layers at which a pipeline may be cut. */

import type { Fleet } from './fleet';

/**
 * @param fleet the model and its engines
 * @param limit most cuts inside the model; the borders that most engines share are kept
 * @returns 0, the borders and the number of layers, in order
 */
export function findCuts({ model, engines }: Fleet, limit = Infinity): readonly number[] {
  const counts = new Map<number, number>();
  for (const { layers } of engines) {
    for (const cut of [layers.from, layers.to]) {
      if (cut > 0 && cut < model.layers) counts.set(cut, (counts.get(cut) ?? 0) + 1);
    }
  }
  const common = [...counts].sort((a, b) => b[1] - a[1] || a[0] - b[0]).slice(0, limit);
  return [0, ...common.map(([cut]) => cut).sort((a, b) => a - b), model.layers];
}
