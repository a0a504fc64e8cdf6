/** Tells whether two plannings of a model would read the same. */

import type { Fleet } from './fleet';

/**
 * @param fleet what the planning reads
 * @returns text that is equal for equal fleets and differs wherever the plan could
 */
export function fleetKey(fleet: Fleet): string {
  const engines = fleet.engines.map((engine) => [
    engine.id,
    engine.layers.from,
    engine.layers.to,
    engine.acceleratorKind,
    engine.accelerators,
    engine.uplinkBytesPerSecond,
    engine.role,
    fleet.failureDomainOf(engine.id),
    fleet.weightOf(engine.id),
  ]);
  const kinds = new Set(fleet.engines.map((engine) => engine.acceleratorKind));
  const figures = [...kinds].map((kind) => fleet.acceleratorKinds.get(kind));
  return JSON.stringify([fleet.model, fleet.workload, figures, fleet.links, engines]);
}
