/** Groups the engines of a model into classes for planning. */

import { decodeStepMicros } from '../engines/decodeStepMicros';
import type { AcceleratorKind, Engine, LayerRange } from '../engines/engine';
import { kvBudgetBytes } from '../engines/kvBudgetBytes';
import { prefillMicros } from '../engines/prefillMicros';
import { MICROS_PER_MS, MS_PER_SECOND } from '../units';
import type { ClassMember, EngineClass } from './engineClass';
import type { Fleet } from './fleet';

/** What one engine brings to its class. */
interface Share {
  readonly member: ClassMember;
  readonly layers: LayerRange;
  readonly failureDomain: string;
  readonly uplinkBytesPerSecond: number;
  readonly kvBytes: number;
}

/**
 * @param fleet the model and its engines
 * @param cuts borders between layers that classes may have; an engine's range shrinks to them
 * @returns classes in the order of their first engine; engines without weight are left out
 */
export function groupEngines(fleet: Fleet, cuts: readonly number[]): readonly EngineClass[] {
  const groups = new Map<string, Share[]>();
  for (const engine of fleet.engines) {
    const share = describeShare(engine, fleet, cuts);
    if (share === undefined) continue;
    const key = `${share.failureDomain}/${share.layers.from}/${share.layers.to}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [share]);
    else group.push(share);
  }
  return [...groups.values()].map(joinShares);
}

function describeShare(engine: Engine, fleet: Fleet, cuts: readonly number[]): Share | undefined {
  const kind = fleet.acceleratorKinds.get(engine.acceleratorKind);
  const inside = cuts.filter((cut) => cut >= engine.layers.from && cut <= engine.layers.to);
  const from = inside[0];
  const to = inside.at(-1);
  const weight = fleet.weightOf(engine.id);
  if (kind === undefined || from === undefined || to === undefined || from === to) return undefined;
  const kvBytes = kvBudgetBytes(engine, kind, fleet.model);
  const batch = largestBatch(engine, kind, kvBytes, fleet);
  if (weight <= 0 || batch < 1) return undefined;
  const microsPerSecond = MS_PER_SECOND * MICROS_PER_MS;
  const rate = (weight * microsPerSecond) / microsPerTokenLayer(engine, kind, batch, fleet);
  return {
    member: { engine: engine.id, tokenLayersPerSecond: rate },
    layers: { from, to },
    failureDomain: fleet.failureDomainOf(engine.id),
    uplinkBytesPerSecond: engine.uplinkBytesPerSecond * weight,
    kvBytes: kvBytes * weight,
  };
}

function joinShares(shares: readonly Share[]): EngineClass {
  const [first] = shares;
  if (first === undefined) throw new RangeError('A class has at least one engine');
  const sum = (valueOf: (share: Share) => number): number =>
    shares.reduce((total, share) => total + valueOf(share), 0);
  return {
    members: shares.map((share) => share.member),
    failureDomain: first.failureDomain,
    layers: first.layers,
    tokenLayersPerSecond: sum((share) => share.member.tokenLayersPerSecond),
    uplinkBytesPerSecond: sum((share) => share.uplinkBytesPerSecond),
    kvBytes: sum((share) => share.kvBytes),
  };
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
