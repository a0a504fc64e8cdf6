/**
 * Cuts a flow into paths with rates (Ahuja, Magnanti, Orlin, Network Flows, 1993, theorem 3.5): the
 * widest way through what is left is taken again and again, until nothing is left.
 */

import type { EngineClass } from './engineClass';
import type { LayerRange } from '../engines/engine';
import type { EdgeFlow } from './solveFlow';

/** One class's part of a path. */
export interface ClassStage {
  readonly class: number;
  readonly layers: LayerRange;
}

export interface FlowPath {
  readonly stages: readonly ClassStage[];
  readonly tokensPerSecond: number;
}

interface Remaining {
  readonly flow: EdgeFlow;
  left: number;
}

/** Paths that one plan has at most. */
const MAX_PATHS = 2000;

/** Rates below this are rounding errors, tokens a second. */
const LEAST_RATE = 1e-2;

/**
 * @param flows the edges that carry tokens
 * @param classes the classes that the edges name
 * @param layers layers of the model
 * @returns paths from layer 0 to the last one
 */
export function decomposeFlow(
  flows: readonly EdgeFlow[],
  classes: readonly EngineClass[],
  layers: number,
): readonly FlowPath[] {
  const byNode = new Map<string, Remaining[]>();
  for (const flow of flows) {
    const node = startOf(flow, classes);
    const list = byNode.get(node) ?? [];
    list.push({ flow, left: flow.tokensPerSecond });
    byNode.set(node, list);
  }
  const paths: FlowPath[] = [];
  while (paths.length < MAX_PATHS) {
    const way = followWidest(byNode, classes, layers);
    if (way === undefined) break;
    const tokensPerSecond = Math.min(...way.map((item) => item.left));
    for (const item of way) item.left -= tokensPerSecond;
    paths.push({ stages: way.flatMap(stageOf), tokensPerSecond });
  }
  return paths;
}

function stageOf({ flow: { edge } }: Remaining): readonly ClassStage[] {
  return edge.type === 'run' ? [{ class: edge.class, layers: edge.layers }] : [];
}

const SOURCE = 'source';

/** Runs start where a move ended (`in`), moves where a run ended (`out`). */
function startOf({ edge }: EdgeFlow, classes: readonly EngineClass[]): string {
  if (edge.type === 'move') return `out/${edge.cut}/${edge.from}`;
  if (edge.layers.from === 0) return SOURCE;
  return `in/${edge.layers.from}/${classes[edge.class]?.failureDomain ?? ''}`;
}

function endOf({ edge }: EdgeFlow, classes: readonly EngineClass[]): string {
  if (edge.type === 'move') return `in/${edge.cut}/${edge.to}`;
  return `out/${edge.layers.to}/${classes[edge.class]?.failureDomain ?? ''}`;
}

function followWidest(
  byNode: ReadonlyMap<string, readonly Remaining[]>,
  classes: readonly EngineClass[],
  layers: number,
): readonly Remaining[] | undefined {
  const way: Remaining[] = [];
  for (let node = SOURCE; ;) {
    const widest = findWidest(byNode.get(node) ?? []);
    if (widest === undefined) return undefined;
    way.push(widest);
    const { edge } = widest.flow;
    if (edge.type === 'run' && edge.layers.to === layers) return way;
    node = endOf(widest.flow, classes);
  }
}

function findWidest(items: readonly Remaining[]): Remaining | undefined {
  let widest: Remaining | undefined;
  for (const item of items) {
    if (item.left >= LEAST_RATE && item.left > (widest?.left ?? 0)) widest = item;
  }
  return widest;
}
