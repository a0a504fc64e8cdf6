/** How much of a prefix each stage of a route has to run. */

import type { BackendServerId } from '../src/backendServers/backendServer';
import type { StreamOrder } from '../src/contracts/engineContract';
import type { FakeEngine } from './fakeEngine';

/**
 * Tokens that each stage runs before the first decode: those whose KV it lacks, and those whose
 * activations a later stage lacks.
 */
export function prefillOf(
  order: StreamOrder,
  fakeOf: (engine: BackendServerId) => FakeEngine,
): readonly number[] {
  const prefix = order.prompt.length + order.delivered.length;
  const runs = order.route.map(({ engine, kvImport }) => {
    const own = fakeOf(engine).cached.get(order.request) ?? 0;
    const source = kvImport === undefined ? undefined : fakeOf(kvImport.engine);
    const imported = source === undefined || source.state === 'dead' ? 0 : (kvImport?.tokens ?? 0);
    return prefix - Math.min(prefix, Math.max(own, imported));
  });
  for (let index = runs.length - 2; index >= 0; index -= 1) {
    runs[index] = Math.max(runs[index] ?? 0, runs[index + 1] ?? 0);
  }
  return runs;
}
