/** Adds to each stage of a route the address of its engine and the KV export to import. */

import type { Configuration } from '../configuration/configuration';
import type { AddressedStage, KvExport } from '../contracts/engineContract';
import type { Route, Stage } from '../pipelines/route';

/**
 * @param configuration provides the addresses; stages of engines that it no longer lists are omitted
 * @param route the stages to address
 * @param kvExports KV exports that stages may import
 */
export function addressRoute(
  configuration: Configuration,
  route: Route,
  kvExports: readonly KvExport[] = [],
): readonly AddressedStage[] {
  return route.flatMap((stage) => {
    const server = configuration.backendServer.get(stage.engine);
    if (server === undefined) return [];
    const kvImport = findExport(stage, kvExports);
    const addressed = { ...stage, address: server.address };
    return [kvImport === undefined ? addressed : { ...addressed, kvImport }];
  });
}

/** Finds the longest export that covers the stage's layers; prefers the engine's own on a tie. */
function findExport(stage: Stage, kvExports: readonly KvExport[]): KvExport | undefined {
  let best: KvExport | undefined;
  for (const candidate of kvExports) {
    const covers =
      candidate.layers.from <= stage.layers.from && candidate.layers.to >= stage.layers.to;
    if (!covers || candidate.tokens <= 0) continue;
    if (best === undefined || isBetter(candidate, best, stage)) best = candidate;
  }
  return best;
}

function isBetter(candidate: KvExport, best: KvExport, stage: Stage): boolean {
  if (candidate.tokens !== best.tokens) return candidate.tokens > best.tokens;
  return candidate.engine === stage.engine && best.engine !== stage.engine;
}
