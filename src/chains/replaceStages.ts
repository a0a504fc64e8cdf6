/** Repairs the path of a running request and keeps the engines that still hold its state. */

import type { ChainSearch } from './findChain';
import { findChain } from './findChain';
import type { Stage } from './layerEngine';

export interface StageReplacement extends Omit<ChainSearch, 'layers' | 'isEntry'> {
  readonly stages: readonly Stage[];
  /** Ids of engines that failed or are leaving and are replaced; the first stage cannot be among them. */
  readonly lost: ReadonlySet<string>;
  /** Failure domains by engine id. */
  readonly domains: ReadonlyMap<string, string>;
}

/**
 * Replaces each run of consecutive lost stages by other engines. All other stages stay unchanged, so only
 * the replacements repeat the prefill.
 *
 * @returns the new path; undefined if the first stage is lost or some layers have no other engine
 */
export function replaceStages(replacement: StageReplacement): readonly Stage[] | undefined {
  const { stages, lost } = replacement;
  const [first] = stages;
  if (first === undefined || lost.has(first.id)) return undefined;
  const kept = stages.filter(({ id }) => !lost.has(id));
  const excluded = new Set([...replacement.excluded, ...lost, ...kept.map(({ id }) => id)]);
  const path: Stage[] = [];
  for (let index = 0; index < stages.length; index += 1) {
    const stage = stages[index];
    if (stage === undefined) continue;
    if (!lost.has(stage.id)) {
      path.push(stage);
      continue;
    }
    let end = index;
    while (lost.has(stages[end + 1]?.id ?? '')) end += 1;
    const to = stages[end]?.layers.to ?? stage.layers.to;
    const layers = { from: stage.layers.from, to };
    const previous = path.at(-1)?.id;
    const fromDomain = replacement.domains.get(previous ?? '') ?? replacement.fromDomain;
    const found = findChain({ ...replacement, fromDomain, layers, excluded, isEntry: false });
    if (found === undefined) return undefined;
    for (const { id } of found) excluded.add(id);
    path.push(...found);
    index = end;
  }
  return path;
}
