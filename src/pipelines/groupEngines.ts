/** Groups the engines of a model into classes of alike ones. */

import { decodeStepMicros } from '../engines/decodeStepMicros';
import type { AcceleratorKind, Engine } from '../engines/engine';
import { kvBudgetBytes } from '../engines/kvBudgetBytes';
import { prefillMicros } from '../engines/prefillMicros';
import type { EngineClass } from './engineClass';
import type { Fleet } from './fleet';

/** Steps in which weights are told apart. */
const WEIGHT_STEPS = 10;

/** @returns classes in the order of their first engine; engines without weight are left out */
export function groupEngines(fleet: Fleet): readonly EngineClass[] {
  const groups = new Map<string, Engine[]>();
  for (const engine of fleet.engines) {
    const key = keyOf(engine, fleet);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [engine]);
    else group.push(engine);
  }
  return [...groups.values()].flatMap((group) => createClass(group, fleet));
}

function stepWeight(fleet: Fleet, engine: Engine): number {
  return Math.ceil(fleet.weightOf(engine.id) * WEIGHT_STEPS) / WEIGHT_STEPS;
}

function keyOf(engine: Engine, fleet: Fleet): string {
  return [
    fleet.failureDomainOf(engine.id),
    engine.acceleratorKind,
    engine.accelerators,
    engine.uplinkBytesPerSecond,
    engine.layers.from,
    engine.layers.to,
    stepWeight(fleet, engine),
  ].join('|');
}

function createClass(engines: readonly Engine[], fleet: Fleet): readonly EngineClass[] {
  const [first] = engines;
  const kind = first && fleet.acceleratorKinds.get(first.acceleratorKind);
  if (first === undefined || kind === undefined) return [];
  const size = engines.length * stepWeight(fleet, first);
  const kvBytes = kvBudgetBytes(first, kind, fleet.model);
  const batch = largestBatch(first, kind, kvBytes, fleet);
  if (size <= 0 || batch < 1) return [];
  return [
    {
      engines: engines.map((engine) => engine.id),
      failureDomain: fleet.failureDomainOf(first.id),
      layers: first.layers,
      microsPerTokenLayer: microsPerTokenLayer(first, kind, batch, fleet),
      size,
      uplinkBytesPerSecond: first.uplinkBytesPerSecond * size,
      kvBytes: kvBytes * size,
    },
  ];
}

/** Sequences that fit one step: as many as the kernel takes and the KV memory holds. */
function largestBatch(
  engine: Engine,
  kind: AcceleratorKind,
  kvBytes: number,
  { model, workload }: Fleet,
): number {
  const layers = engine.layers.to - engine.layers.from;
  const context = workload.promptTokens + workload.answerTokens / 2;
  const kvBytesPerSequence = context * model.kvBytesPerTokenLayer * layers;
  return Math.min(kind.maxBatch, Math.floor(kvBytes / kvBytesPerSequence));
}

function microsPerTokenLayer(
  { accelerators }: Engine,
  kind: AcceleratorKind,
  batch: number,
  { workload }: Fleet,
): number {
  const decode = decodeStepMicros(kind, accelerators, 1, batch) / batch;
  const promptTokens = workload.promptTokens / workload.answerTokens;
  return decode + prefillMicros(kind, accelerators, 1, promptTokens);
}
