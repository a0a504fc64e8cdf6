/** Computes maximum flow by Dinic's algorithm (E. A. Dinitz, 1970), with level graphs and blocking flows. */

/** A directed edge; its capacity is any non-negative number. */
export interface FlowEdge {
  readonly from: number;
  readonly to: number;
  readonly capacity: number;
}

/** Capacities up to this value count as zero, so that rounding errors do not prevent termination. */
const EPSILON = 1e-9;

interface ResidualEdge {
  readonly to: number;
  readonly reverse: number;
  residual: number;
}

/**
 * Returns the maximum flow between two nodes.
 *
 * @param nodeCount number of nodes, which are numbered from 0
 * @param edges the edges
 * @param source node at which the flow starts
 * @param sink node at which the flow ends
 */
export function computeMaximumFlow(
  nodeCount: number,
  edges: readonly FlowEdge[],
  source: number,
  sink: number,
): number {
  const residuals: ResidualEdge[] = [];
  const outgoing: number[][] = Array.from({ length: nodeCount }, () => []);
  for (const { from, to, capacity } of edges) {
    outgoing[from]?.push(residuals.length);
    outgoing[to]?.push(residuals.length + 1);
    residuals.push({ to, reverse: residuals.length + 1, residual: capacity });
    residuals.push({ to: from, reverse: residuals.length - 1, residual: 0 });
  }
  let flow = 0;
  for (;;) {
    const levels = computeLevels(nodeCount, outgoing, residuals, source);
    if ((levels[sink] ?? -1) < 0) return flow;
    const nextEdge = new Array<number>(nodeCount).fill(0);
    for (;;) {
      const pushed = pushFlow(source, sink, Infinity, outgoing, residuals, levels, nextEdge);
      if (pushed <= EPSILON) break;
      flow += pushed;
    }
  }
}

function computeLevels(
  nodeCount: number,
  outgoing: readonly (readonly number[])[],
  residuals: readonly ResidualEdge[],
  source: number,
): readonly number[] {
  const levels = new Array<number>(nodeCount).fill(-1);
  levels[source] = 0;
  const queue = [source];
  for (const node of queue) {
    for (const index of outgoing[node] ?? []) {
      const edge = residuals[index];
      if (edge === undefined || edge.residual <= EPSILON || (levels[edge.to] ?? 0) >= 0) continue;
      levels[edge.to] = (levels[node] ?? 0) + 1;
      queue.push(edge.to);
    }
  }
  return levels;
}

function pushFlow(
  node: number,
  sink: number,
  limit: number,
  outgoing: readonly (readonly number[])[],
  residuals: readonly ResidualEdge[],
  levels: readonly number[],
  nextEdge: number[],
): number {
  if (node === sink) return limit;
  const edges = outgoing[node] ?? [];
  for (let position = nextEdge[node] ?? 0; position < edges.length; position += 1) {
    nextEdge[node] = position;
    const edge = residuals[edges[position] ?? -1];
    if (edge === undefined || edge.residual <= EPSILON) continue;
    if (levels[edge.to] !== (levels[node] ?? 0) + 1) continue;
    const bottleneck = Math.min(limit, edge.residual);
    const pushed = pushFlow(edge.to, sink, bottleneck, outgoing, residuals, levels, nextEdge);
    if (pushed <= EPSILON) continue;
    edge.residual -= pushed;
    const reverse = residuals[edge.reverse];
    if (reverse !== undefined) reverse.residual += pushed;
    return pushed;
  }
  nextEdge[node] = edges.length;
  return 0;
}
