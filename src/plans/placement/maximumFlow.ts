/** Maximum flow by Dinic's algorithm (E. A. Dinitz, 1970): shortest paths in layers, then blocking flow. */

/** A directed edge; capacities are any non-negative numbers. */
export interface FlowEdge {
  readonly from: number;
  readonly to: number;
  readonly capacity: number;
}

/** Capacity that counts as none, to end in spite of rounding. */
const TINY = 1e-9;

interface Residual {
  readonly to: number;
  readonly twin: number;
  left: number;
}

/**
 * Gives the maximum flow between two nodes.
 *
 * @param nodes how many nodes there are; they are numbered from 0
 * @param edges the edges
 * @param source where the flow starts
 * @param sink where it ends
 */
export function maximumFlow(
  nodes: number,
  edges: readonly FlowEdge[],
  source: number,
  sink: number,
): number {
  const residuals: Residual[] = [];
  const outgoing: number[][] = Array.from({ length: nodes }, () => []);
  for (const { from, to, capacity } of edges) {
    outgoing[from]?.push(residuals.length);
    outgoing[to]?.push(residuals.length + 1);
    residuals.push({ to, twin: residuals.length + 1, left: capacity });
    residuals.push({ to: from, twin: residuals.length - 1, left: 0 });
  }
  let flow = 0;
  for (;;) {
    const levels = levelNodes(nodes, outgoing, residuals, source);
    if ((levels[sink] ?? -1) < 0) return flow;
    const next = new Array<number>(nodes).fill(0);
    for (;;) {
      const pushed = push(source, sink, Infinity, outgoing, residuals, levels, next);
      if (pushed <= TINY) break;
      flow += pushed;
    }
  }
}

function levelNodes(
  nodes: number,
  outgoing: readonly (readonly number[])[],
  residuals: readonly Residual[],
  source: number,
): readonly number[] {
  const levels = new Array<number>(nodes).fill(-1);
  levels[source] = 0;
  const queue = [source];
  for (const node of queue) {
    for (const index of outgoing[node] ?? []) {
      const edge = residuals[index];
      if (edge === undefined || edge.left <= TINY || (levels[edge.to] ?? 0) >= 0) continue;
      levels[edge.to] = (levels[node] ?? 0) + 1;
      queue.push(edge.to);
    }
  }
  return levels;
}

function push(
  node: number,
  sink: number,
  most: number,
  outgoing: readonly (readonly number[])[],
  residuals: readonly Residual[],
  levels: readonly number[],
  next: number[],
): number {
  if (node === sink) return most;
  const edges = outgoing[node] ?? [];
  for (let at = next[node] ?? 0; at < edges.length; at += 1) {
    next[node] = at;
    const edge = residuals[edges[at] ?? -1];
    if (edge === undefined || edge.left <= TINY) continue;
    if (levels[edge.to] !== (levels[node] ?? 0) + 1) continue;
    const least = Math.min(most, edge.left);
    const pushed = push(edge.to, sink, least, outgoing, residuals, levels, next);
    if (pushed <= TINY) continue;
    edge.left -= pushed;
    const twin = residuals[edge.twin];
    if (twin !== undefined) twin.left += pushed;
    return pushed;
  }
  next[node] = edges.length;
  return 0;
}
