/**
 * States the throughput of a pipeline as a linear program: a flow of tokens from layer 0 to layer L
 * through classes of engines and the links between their failure domains. Nodes of the flow network
 * are pairs of a cut between layers and a failure domain; a class is an edge over some of its layers,
 * a link is an edge between failure domains at one cut (Ford and Fulkerson, Flows in Networks, 1962,
 * with capacities that several edges share).
 */

import type { Constraint, Model as Program } from 'yalps';
import { MICROS_PER_MS, MS_PER_SECOND } from '../units';
import { decodeStepMicros } from '../engines/decodeStepMicros';
import type { LayerRange } from '../engines/engine';
import type { EngineClass } from './engineClass';
import type { Fleet } from './fleet';

/** An edge of the flow network. */
export type FlowEdge =
  | { readonly type: 'run'; readonly class: number; readonly layers: LayerRange }
  | { readonly type: 'move'; readonly cut: number; readonly from: string; readonly to: string };

export interface FlowProgram {
  readonly program: Program;
  /** Edges by the name of their variable. */
  readonly edges: ReadonlyMap<string, FlowEdge>;
}

const MICROS_PER_SECOND = MS_PER_SECOND * MICROS_PER_MS;

/**
 * Parts of an engine's time, and what a token costs the objective in each: flow prefers engines with
 * time to spare wherever that costs no throughput.
 */
const BUSY_STEPS = [
  { upTo: 0.5, cost: 0 },
  { upTo: 0.75, cost: 1e-4 },
  { upTo: 1, cost: 3e-4 },
] as const;

type Coefficients = Map<string, number>;

/**
 * @param fleet the model and what its engines and links can do
 * @param classes the engines in classes
 * @param cuts borders between layers at which stages may meet
 * @param hopCost what a stage costs the objective, in tokens a second for each token a second: of two
 *   ways that carry about as much the shorter one is taken
 * @returns the program; its variables are tokens a second, its objective is the total rate
 */
export function buildFlowProgram(
  fleet: Fleet,
  classes: readonly EngineClass[],
  cuts: readonly number[],
  hopCost: number,
): FlowProgram {
  const constraints = new Map<string, Constraint>();
  const variables = new Map<string, Coefficients>();
  const edges = new Map<string, FlowEdge>();
  classes.forEach((item, index) => {
    addClass(index, item, constraints, variables);
    for (const layers of partsOf(item.layers, cuts)) {
      const name = `run/${index}/${layers.from}/${layers.to}`;
      edges.set(name, { type: 'run', class: index, layers });
      variables.set(name, runCoefficients(fleet, item, index, layers, hopCost));
    }
  });
  addMoves(fleet, cuts, classes, constraints, variables, edges);
  for (const name of flowNodes(variables)) constraints.set(name, { equal: 0 });
  const program = { direction: 'maximize', objective: 'rate', constraints, variables } as const;
  return { program, edges };
}

function partsOf(held: LayerRange, cuts: readonly number[]): readonly LayerRange[] {
  const inside = cuts.filter((cut) => cut >= held.from && cut <= held.to);
  return inside.flatMap((from) =>
    inside.filter((to) => to > from).map((to): LayerRange => ({ from, to })),
  );
}

/** One class: its time, spread over steps of how busy it is, its interfaces and its KV memory. */
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
  BUSY_STEPS.forEach(({ upTo, cost }, step) => {
    const name = `busy/${index}/${step}`;
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
  fleet: Fleet,
  item: EngineClass,
  index: number,
  layers: LayerRange,
  hopCost: number,
): Coefficients {
  const { model, workload } = fleet;
  const count = layers.to - layers.from;
  const context = workload.promptTokens + workload.answerTokens / 2;
  const kvBytes = count * model.kvBytesPerTokenLayer * context;
  const coefficients: Coefficients = new Map([
    [`time/${index}`, count / item.tokenLayersPerSecond],
    [`kv/${index}`, (kvBytes * leastCycleMicros(fleet)) / MICROS_PER_SECOND / item.kvBytes],
  ]);
  coefficients.set('rate', (layers.from === 0 ? 1 : 0) - hopCost);
  if (layers.from > 0) coefficients.set(`in/${layers.from}/${item.failureDomain}`, -1);
  if (layers.to < model.layers) {
    coefficients.set(`out/${layers.to}/${item.failureDomain}`, 1);
    coefficients.set(`uplink/${index}`, activationBytesPerToken(fleet) / item.uplinkBytesPerSecond);
  }
  return coefficients;
}

/** Bytes that cross between two stages for one answer token, its share of the prompt included. */
function activationBytesPerToken({ model, workload }: Fleet): number {
  return model.activationBytes * (1 + workload.promptTokens / workload.answerTokens);
}

/** Least time that a sequence takes for one token, alone on the fastest engines, microseconds. */
function leastCycleMicros({ model, engines, acceleratorKinds }: Fleet): number {
  const times = engines.flatMap(({ acceleratorKind, accelerators }) => {
    const kind = acceleratorKinds.get(acceleratorKind);
    return kind === undefined ? [] : [decodeStepMicros(kind, accelerators, model.layers, 1)];
  });
  return Math.min(...times);
}

function addMoves(
  fleet: Fleet,
  cuts: readonly number[],
  classes: readonly EngineClass[],
  constraints: Map<string, Constraint>,
  variables: Map<string, Coefficients>,
  edges: Map<string, FlowEdge>,
): void {
  const domains = [...new Set(classes.map((item) => item.failureDomain))];
  const stays = domains.map((domain) => ({ from: domain, to: domain, bytesPerSecond: Infinity }));
  for (const link of fleet.links) {
    constraints.set(`link/${link.from}/${link.to}`, { max: 1 });
  }
  for (const { from, to, bytesPerSecond } of [...stays, ...fleet.links]) {
    const share = activationBytesPerToken(fleet) / bytesPerSecond;
    for (const cut of cuts.slice(1, -1)) {
      const name = `move/${cut}/${from}/${to}`;
      edges.set(name, { type: 'move', cut, from, to });
      const coefficients: Coefficients = new Map([
        [`out/${cut}/${from}`, -1],
        [`in/${cut}/${to}`, 1],
      ]);
      if (from !== to) coefficients.set(`link/${from}/${to}`, share);
      variables.set(name, coefficients);
    }
  }
}

function flowNodes(variables: ReadonlyMap<string, Coefficients>): ReadonlySet<string> {
  const names = [...variables.values()].flatMap((coefficients) => [...coefficients.keys()]);
  return new Set(names.filter((name) => name.startsWith('in/') || name.startsWith('out/')));
}
