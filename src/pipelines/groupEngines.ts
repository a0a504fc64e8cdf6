/** Groups the engines of a model into classes for planning. */

import { computeDecodeStepMicros } from '../engines/computeDecodeStepMicros';
import type { AcceleratorKind, Engine, LayerRange } from '../engines/engine';
import { computeKvBudgetBytes } from '../engines/computeKvBudgetBytes';
import { computePrefillMicros } from '../engines/computePrefillMicros';
import { MICROS_PER_MS, MS_PER_SECOND } from '../units';
import type { ClassMember, EngineClass } from './engineClass';
import type { PipelineInput } from './pipelineInput';

/** The contribution of one engine to its class. */
interface EngineCapacity {
  readonly member: ClassMember;
  readonly layers: LayerRange;
  readonly failureDomain: string;
  readonly uplinkBytesPerSecond: number;
  readonly kvBytes: number;
}

/**
 * @param input the model and its engines
 * @param boundaries layer boundaries that classes may have; an engine's range is narrowed to them
 * @returns classes in the order of their first engine; engines without weight are omitted
 */
export function groupEngines(
  input: PipelineInput,
  boundaries: readonly number[],
): readonly EngineClass[] {
  const groups = new Map<string, EngineCapacity[]>();
  for (const engine of input.engines) {
    const capacity = computeCapacity(engine, input, boundaries);
    if (capacity === undefined) continue;
    const key = `${capacity.failureDomain}/${capacity.layers.from}/${capacity.layers.to}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [capacity]);
    else group.push(capacity);
  }
  return [...groups.values()].map(sumCapacities);
}

function computeCapacity(
  engine: Engine,
  input: PipelineInput,
  boundaries: readonly number[],
): EngineCapacity | undefined {
  const kind = input.acceleratorKinds.get(engine.acceleratorKind);
  const inside = boundaries.filter(
    (boundary) => boundary >= engine.layers.from && boundary <= engine.layers.to,
  );
  const from = inside[0];
  const to = inside.at(-1);
  const weight = input.weightOf(engine.id);
  if (kind === undefined || from === undefined || to === undefined || from === to) return undefined;
  const kvBytes = computeKvBudgetBytes(engine, kind, input.model);
  const batch = computeMaxBatch(engine, kind, kvBytes, input);
  if (weight <= 0 || batch < 1) return undefined;
  const microsPerSecond = MS_PER_SECOND * MICROS_PER_MS;
  const rate = (weight * microsPerSecond) / computeTokenLayerMicros(engine, kind, batch, input);
  return {
    member: { engine: engine.id, tokenLayersPerSecond: rate },
    layers: { from, to },
    failureDomain: input.failureDomainOf(engine.id),
    uplinkBytesPerSecond: engine.uplinkBytesPerSecond * weight,
    kvBytes: kvBytes * weight,
  };
}

function sumCapacities(capacities: readonly EngineCapacity[]): EngineClass {
  const [first] = capacities;
  if (first === undefined) throw new RangeError('A class has at least one engine');
  const sum = (valueOf: (capacity: EngineCapacity) => number): number =>
    capacities.reduce((total, capacity) => total + valueOf(capacity), 0);
  return {
    members: capacities.map((capacity) => capacity.member),
    failureDomain: first.failureDomain,
    layers: first.layers,
    tokenLayersPerSecond: sum((capacity) => capacity.member.tokenLayersPerSecond),
    uplinkBytesPerSecond: sum((capacity) => capacity.uplinkBytesPerSecond),
    kvBytes: sum((capacity) => capacity.kvBytes),
  };
}

/** Computes the maximum batch of a step, limited by the accelerator and the KV memory. */
function computeMaxBatch(
  engine: Engine,
  kind: AcceleratorKind,
  kvBytes: number,
  { model, workload }: PipelineInput,
): number {
  const layers = engine.layers.to - engine.layers.from;
  const context = workload.promptTokens + workload.answerTokens / 2;
  const kvBytesPerSequence = context * model.kvBytesPerTokenLayer * layers;
  return Math.min(kind.maxBatch, Math.floor(kvBytes / kvBytesPerSequence));
}

function computeTokenLayerMicros(
  { accelerators }: Engine,
  kind: AcceleratorKind,
  batch: number,
  { workload }: PipelineInput,
): number {
  const decode = computeDecodeStepMicros(kind, accelerators, 1, batch) / batch;
  const promptTokens = workload.promptTokens / workload.answerTokens;
  return decode + computePrefillMicros(kind, accelerators, 1, promptTokens);
}
