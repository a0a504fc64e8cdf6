/**
 * Decomposes a flow into paths with rates (Ahuja, Magnanti, Orlin, Network Flows, 1993, theorem 3.5) by
 * repeatedly extracting a path along the widest residual edges until no flow remains.
 */

import type { EngineClass } from './engineClass';
import type { LayerRange } from '../engines/engine';
import type { EdgeFlow } from './solveFlow';

/** Layers of a path that one class runs. */
export interface ClassStage {
  readonly class: number;
  readonly layers: LayerRange;
}

export interface FlowPath {
  readonly stages: readonly ClassStage[];
  readonly tokensPerSecond: number;
}

interface ResidualEdge {
  readonly flow: EdgeFlow;
  residualRate: number;
}

/** Maximum number of paths in one plan. */
const MAX_PATHS = 2000;

/** Minimum rate that is not a rounding error, tokens a second. */
const MIN_RATE = 1e-2;

/**
 * @param flows the edges that carry tokens
 * @param classes the classes that the edges refer to
 * @param layers number of layers of the model
 * @returns paths from the first to the last layer
 */
export function decomposeFlow(
  flows: readonly EdgeFlow[],
  classes: readonly EngineClass[],
  layers: number,
): readonly FlowPath[] {
  const byNode = new Map<string, ResidualEdge[]>();
  for (const flow of flows) {
    const node = getStartNode(flow, classes);
    const list = byNode.get(node) ?? [];
    list.push({ flow, residualRate: flow.tokensPerSecond });
    byNode.set(node, list);
  }
  const paths: FlowPath[] = [];
  while (paths.length < MAX_PATHS) {
    const path = followWidestEdges(byNode, classes, layers);
    if (path === undefined) break;
    const tokensPerSecond = Math.min(...path.map((item) => item.residualRate));
    for (const item of path) item.residualRate -= tokensPerSecond;
    paths.push({ stages: path.flatMap(listStages), tokensPerSecond });
  }
  return paths;
}

function listStages({ flow: { edge } }: ResidualEdge): readonly ClassStage[] {
  return edge.type === 'run' ? [{ class: edge.class, layers: edge.layers }] : [];
}

const SOURCE = 'source';

/** Names the start node: a run starts where a move ends (`in`), a move where a run ends (`out`). */
function getStartNode({ edge }: EdgeFlow, classes: readonly EngineClass[]): string {
  if (edge.type === 'move') return `out/${edge.boundary}/${edge.from}`;
  if (edge.layers.from === 0) return SOURCE;
  return `in/${edge.layers.from}/${classes[edge.class]?.failureDomain ?? ''}`;
}

function getEndNode({ edge }: EdgeFlow, classes: readonly EngineClass[]): string {
  if (edge.type === 'move') return `in/${edge.boundary}/${edge.to}`;
  return `out/${edge.layers.to}/${classes[edge.class]?.failureDomain ?? ''}`;
}

function followWidestEdges(
  byNode: ReadonlyMap<string, readonly ResidualEdge[]>,
  classes: readonly EngineClass[],
  layers: number,
): readonly ResidualEdge[] | undefined {
  const path: ResidualEdge[] = [];
  for (let node = SOURCE; ;) {
    const widest = findWidestEdge(byNode.get(node) ?? []);
    if (widest === undefined) return undefined;
    path.push(widest);
    const { edge } = widest.flow;
    if (edge.type === 'run' && edge.layers.to === layers) return path;
    node = getEndNode(widest.flow, classes);
  }
}

function findWidestEdge(items: readonly ResidualEdge[]): ResidualEdge | undefined {
  let widest: ResidualEdge | undefined;
  for (const item of items) {
    if (item.residualRate >= MIN_RATE && item.residualRate > (widest?.residualRate ?? 0))
      widest = item;
  }
  return widest;
}
