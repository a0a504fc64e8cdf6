/**
 * Formulates the throughput of a pipeline as a linear program: a flow of tokens from layer 0 to layer L
 * through classes of engines and the links between their failure domains. Each node of the flow network
 * is a pair of a layer boundary and a failure domain. An edge is either a class that runs some of its
 * layers or a link between failure domains at one boundary (Ford and Fulkerson, Flows in Networks, 1962,
 * with capacities that several edges share).
 */

import type { Constraint, Model as Program } from 'yalps';
import { MICROS_PER_MS, MS_PER_SECOND } from '../units';
import { computeDecodeStepMicros } from '../engines/computeDecodeStepMicros';
import type { LayerRange } from '../engines/engine';
import type { EngineClass } from './engineClass';
import type { PipelineInput } from './pipelineInput';

/** An edge of the flow network. */
export type FlowEdge =
  | { readonly type: 'run'; readonly class: number; readonly layers: LayerRange }
  | {
      readonly type: 'move';
      readonly boundary: number;
      readonly from: string;
      readonly to: string;
    };

export interface FlowProgram {
  readonly program: Program;
  /** Edges by the name of their variable. */
  readonly edges: ReadonlyMap<string, FlowEdge>;
}

const MICROS_PER_SECOND = MS_PER_SECOND * MICROS_PER_MS;

/**
 * Utilization levels of an engine, each with a cost per token in the objective. The costs make the flow
 * prefer less utilized engines where that does not reduce throughput.
 */
const UTILIZATION_LEVELS = [
  { upTo: 0.5, cost: 0 },
  { upTo: 0.75, cost: 1e-4 },
  { upTo: 1, cost: 3e-4 },
] as const;

type Coefficients = Map<string, number>;

/**
 * @param input the model and the capacity of its engines and links
 * @param classes the engines, grouped into classes
 * @param boundaries layer boundaries at which stages may meet
 * @param hopCost cost of a stage in the objective, in tokens a second for each token a second; of two
 *   paths with about the same throughput, the shorter one is preferred
 * @returns the program; its variables are tokens a second, its objective is the total rate
 */
export function buildFlowProgram(
  input: PipelineInput,
  classes: readonly EngineClass[],
  boundaries: readonly number[],
  hopCost: number,
): FlowProgram {
  const constraints = new Map<string, Constraint>();
  const variables = new Map<string, Coefficients>();
  const edges = new Map<string, FlowEdge>();
  classes.forEach((item, index) => {
    addClass(index, item, constraints, variables);
    for (const layers of listSubranges(item.layers, boundaries)) {
      const name = `run/${index}/${layers.from}/${layers.to}`;
      edges.set(name, { type: 'run', class: index, layers });
      variables.set(name, runCoefficients(input, item, index, layers, hopCost));
    }
  });
  addLinks(input, boundaries, classes, constraints, variables, edges);
  for (const name of listFlowNodes(variables)) constraints.set(name, { equal: 0 });
  const program = { direction: 'maximize', objective: 'rate', constraints, variables } as const;
  return { program, edges };
}

function listSubranges(range: LayerRange, boundaries: readonly number[]): readonly LayerRange[] {
  const inside = boundaries.filter((boundary) => boundary >= range.from && boundary <= range.to);
  return inside.flatMap((from) =>
    inside.filter((to) => to > from).map((to): LayerRange => ({ from, to })),
  );
}

/** Adds the constraints of a class: its time in utilization levels, its uplinks and its KV memory. */
function addClass(
  index: number,
  item: EngineClass,
  constraints: Map<string, Constraint>,
  variables: Map<string, Coefficients>,
): void {
  constraints.set(`time/${index}`, { max: 0 });
  constraints.set(`uplink/${index}`, { max: 1 });
  constraints.set(`kv/${index}`, { max: 1 });
  let from = 0;
  UTILIZATION_LEVELS.forEach(({ upTo, cost }, level) => {
    const name = `busy/${index}/${level}`;
    const layers = item.layers.to - item.layers.from;
    constraints.set(name, { max: upTo - from });
    const coefficients: Coefficients = new Map([
      [`time/${index}`, -1],
      [name, 1],
      ['rate', (-cost * item.tokenLayersPerSecond) / layers],
    ]);
    variables.set(name, coefficients);
    from = upTo;
  });
}

function runCoefficients(
  input: PipelineInput,
  item: EngineClass,
  index: number,
  layers: LayerRange,
  hopCost: number,
): Coefficients {
  const { model, workload } = input;
  const count = layers.to - layers.from;
  const context = workload.promptTokens + workload.answerTokens / 2;
  const kvBytes = count * model.kvBytesPerTokenLayer * context;
  const coefficients: Coefficients = new Map([
    [`time/${index}`, count / item.tokenLayersPerSecond],
    [`kv/${index}`, (kvBytes * computeMinTokenMicros(input)) / MICROS_PER_SECOND / item.kvBytes],
  ]);
  coefficients.set('rate', (layers.from === 0 ? 1 : 0) - hopCost);
  if (layers.from > 0) coefficients.set(`in/${layers.from}/${item.failureDomain}`, -1);
  if (layers.to < model.layers) {
    coefficients.set(`out/${layers.to}/${item.failureDomain}`, 1);
    coefficients.set(
      `uplink/${index}`,
      computeActivationBytesPerToken(input) / item.uplinkBytesPerSecond,
    );
  }
  return coefficients;
}

/** Computes the bytes sent between two stages for each answer token, including its share of the prompt. */
function computeActivationBytesPerToken({ model, workload }: PipelineInput): number {
  return model.activationBytes * (1 + workload.promptTokens / workload.answerTokens);
}

/** Computes the minimum time per token of a single sequence on the fastest engines, microseconds. */
function computeMinTokenMicros({ model, engines, acceleratorKinds }: PipelineInput): number {
  const times = engines.flatMap(({ acceleratorKind, accelerators }) => {
    const kind = acceleratorKinds.get(acceleratorKind);
    return kind === undefined ? [] : [computeDecodeStepMicros(kind, accelerators, model.layers, 1)];
  });
  return Math.min(...times);
}

function addLinks(
  input: PipelineInput,
  boundaries: readonly number[],
  classes: readonly EngineClass[],
  constraints: Map<string, Constraint>,
  variables: Map<string, Coefficients>,
  edges: Map<string, FlowEdge>,
): void {
  const domains = [...new Set(classes.map((item) => item.failureDomain))];
  const localMoves = domains.map((domain) => ({
    from: domain,
    to: domain,
    bytesPerSecond: Infinity,
  }));
  for (const link of input.links) {
    constraints.set(`link/${link.from}/${link.to}`, { max: 1 });
  }
  for (const { from, to, bytesPerSecond } of [...localMoves, ...input.links]) {
    const share = computeActivationBytesPerToken(input) / bytesPerSecond;
    for (const boundary of boundaries.slice(1, -1)) {
      const name = `move/${boundary}/${from}/${to}`;
      edges.set(name, { type: 'move', boundary, from, to });
      const coefficients: Coefficients = new Map([
        [`out/${boundary}/${from}`, -1],
        [`in/${boundary}/${to}`, 1],
      ]);
      if (from !== to) coefficients.set(`link/${from}/${to}`, share);
      variables.set(name, coefficients);
    }
  }
}

function listFlowNodes(variables: ReadonlyMap<string, Coefficients>): ReadonlySet<string> {
  const names = [...variables.values()].flatMap((coefficients) => [...coefficients.keys()]);
  return new Set(names.filter((name) => name.startsWith('in/') || name.startsWith('out/')));
}
