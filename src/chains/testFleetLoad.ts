/**
 * Plays a large fleet on a virtual clock, for tests: VMs that learn late of each other's work choose chains for
 * the streams that reach them, and engines turn away what does not fit in their memory.
 */

import { createRandom } from '../random/createRandom';
import type { ChainEngine, Stage } from './layerEngine';
import type { EngineKind, PipelineModel } from './pipelineModel';
import { planLayers } from './planLayers';

/** Chooses a chain by the loads that a VM knows of. */
export type FleetChoice = (
  engines: readonly ChainEngine[],
  request: {
    readonly tokens: number;
    readonly fromDomain: string;
    /** Share of the links between failure domains in use, as it was a moment ago. */
    readonly crossingShare: number;
  },
) => readonly Stage[] | undefined;

export interface FleetLoadOptions {
  readonly model: PipelineModel;
  /** Number of engines of each kind in each failure domain. */
  readonly engines: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Number of VMs in each failure domain. */
  readonly vms: number;
  /** Streams a second, over all VMs. */
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
  readonly createChoice: (random: () => number) => FleetChoice;
}

export interface FleetLoad {
  readonly streams: number;
  /** Streams for which the VM knew of no chain with room. */
  readonly unplaced: number;
  /** Streams that an engine turned away for want of memory. */
  readonly rejected: number;
  /** Streams at the busiest first engine as a multiple of the mean over first engines. */
  readonly entryImbalance: number;
  /** Mean time of a decoding step over the chosen chains, milliseconds. */
  readonly meanStepMs: number;
  /** Mean share of the memory of the engines in use. */
  readonly meanShare: number;
  /** Mean number of stages. */
  readonly meanStages: number;
  /** Mean share of the links between failure domains in use; above 1 if more is sent than fits. */
  readonly meanCrossingShare: number;
}

/** When a VM learns of the work of its own and of other failure domains, milliseconds. */
const NEAR_UPDATE = { everyMs: 150, lagMs: 75 };
const FAR_UPDATE = { everyMs: 600, lagMs: 300 };

const SNAPSHOT_MS = 75;

/** Span over which the use of the links between failure domains is measured. */
const CROSSING_SPAN_MS = 1_000;

const MS_PER_SECOND = 1_000;

interface Engine extends ChainEngine {
  readonly kind: EngineKind;
}

type Loads = Map<string, number>;

/** Plays the fleet from an empty state. */
export function playFleetLoad(options: FleetLoadOptions): FleetLoad {
  const { model, vms, rate, seed } = options;
  const random = createRandom(seed);
  const choose = options.createChoice(random.next);
  const engines = placeEngines(options);
  const engineOf = new Map(engines.map((engine) => [engine.id, engine]));
  const domains = Object.keys(options.engines);
  const inUse: Loads = new Map();
  const entered: Loads = new Map();
  /** Work of each failure domain, and of each VM, as it is now. */
  const loads = new Map<string, Loads>(domains.map((domain) => [domain, new Map()]));
  const ownLoads = new Map<string, Loads>();
  const history: ReadonlyMap<string, Loads>[] = [];
  const ends: { readonly atMs: number; readonly run: () => void }[] = [];
  const result = {
    streams: 0,
    unplaced: 0,
    rejected: 0,
    stepMs: 0,
    share: 0,
    stages: 0,
    samples: 0,
  };
  const readSnapshot = (domain: string, atMs: number): Loads =>
    history[Math.max(0, Math.floor(atMs / SNAPSHOT_MS))]?.get(domain) ?? new Map<string, number>();
  const viewEngines = (vm: string, vmDomain: string, nowMs: number): readonly ChainEngine[] => {
    const known = domains.map((domain) => {
      const { everyMs, lagMs } = domain === vmDomain ? NEAR_UPDATE : FAR_UPDATE;
      return readSnapshot(domain, Math.floor(nowMs / everyMs) * everyMs - lagMs);
    });
    const own = ownLoads.get(vm) ?? new Map<string, number>();
    return engines.map((engine) => {
      const others = known.reduce((sum, part) => sum + (part.get(engine.id) ?? 0), 0);
      return { ...engine, reserved: others + (own.get(engine.id) ?? 0) };
    });
  };
  const crossings: { readonly atMs: number; readonly tokens: number }[] = [];
  const computeCrossingShare = (nowMs: number): number => {
    const recent = crossings.filter(({ atMs }) => atMs > nowMs - CROSSING_SPAN_MS);
    const bytes = recent.reduce((sum, { tokens }) => sum + tokens * model.activationBytes, 0);
    return bytes / (model.domainBytesPerMs * CROSSING_SPAN_MS);
  };
  const addLoad = (target: Loads, stages: readonly Stage[], tokens: number): void => {
    for (const { id, layers } of stages) {
      target.set(id, (target.get(id) ?? 0) + (layers.to - layers.from) * tokens);
    }
  };
  const startStream = (nowMs: number): void => {
    const domain = random.pick(domains);
    const vm = `${domain}-${random.integer(vms)}`;
    const promptTokens = Math.min(2_280, 100 + random.exponential(model.meanPromptTokens - 100));
    const answerTokens = Math.min(460, 1 + random.exponential(model.meanAnswerTokens));
    const hint = answerTokens * (0.5 + random.next());
    const estimate = promptTokens + hint;
    const crossingShare = computeCrossingShare(nowMs);
    const engineViews = viewEngines(vm, domain, nowMs);
    const chain = choose(engineViews, { tokens: estimate, fromDomain: domain, crossingShare });
    result.streams += 1;
    if (chain === undefined) {
      result.unplaced += 1;
      return;
    }
    const tokens = promptTokens + answerTokens;
    const isFull = chain.some(({ id, layers }) => {
      const engine = engineOf.get(id);
      return (inUse.get(id) ?? 0) + (layers.to - layers.from) * tokens > (engine?.capacity ?? 0);
    });
    const entry = chain[0]?.id ?? '';
    entered.set(entry, (entered.get(entry) ?? 0) + 1);
    if (isFull) {
      result.rejected += 1;
      return;
    }
    const stepMs = chain.reduce((sum, { id, layers }) => {
      const engine = engineOf.get(id);
      const share = (inUse.get(id) ?? 0) / (engine?.capacity ?? 1);
      return sum + (layers.to - layers.from) * (engine?.layerStepMs ?? 0) * (1 + share);
    }, chain.length * 0.2);
    result.stepMs += stepMs;
    result.stages += chain.length;
    for (const [index, { id }] of chain.entries()) {
      const previous = engineOf.get(chain[index - 1]?.id ?? id)?.failureDomain;
      if (previous !== engineOf.get(id)?.failureDomain) crossings.push({ atMs: nowMs, tokens });
    }
    const own = ownLoads.get(vm) ?? new Map<string, number>();
    ownLoads.set(vm, own);
    addLoad(inUse, chain, tokens);
    addLoad(own, chain, estimate);
    const ofDomain = loads.get(domain) ?? new Map<string, number>();
    addLoad(ofDomain, chain, estimate);
    ends.push({
      atMs: nowMs + promptTokens * stepMs * 0.02 + answerTokens * stepMs,
      run: () => {
        addLoad(inUse, chain, -tokens);
        addLoad(own, chain, -estimate);
        addLoad(ofDomain, chain, -estimate);
      },
    });
  };
  const isCounted = new Set(engines.filter(({ layers }) => layers.from === 0).map(({ id }) => id));
  let nextArrivalMs = 0;
  for (let nowMs = 0; nowMs < options.seconds * MS_PER_SECOND; nowMs += 1) {
    for (let index = ends.length - 1; index >= 0; index -= 1) {
      const end = ends[index];
      if (end === undefined || end.atMs > nowMs) continue;
      end.run();
      ends.splice(index, 1);
    }
    if (nowMs % SNAPSHOT_MS === 0) {
      history.push(new Map([...loads].map(([domain, load]) => [domain, new Map(load)])));
      for (const { id, capacity } of engines) result.share += (inUse.get(id) ?? 0) / capacity;
      result.samples += engines.length;
    }
    while (nextArrivalMs <= nowMs) {
      startStream(nowMs);
      nextArrivalMs += random.exponential(MS_PER_SECOND / rate);
    }
  }
  const entries = [...isCounted].map((id) => entered.get(id) ?? 0);
  const meanEntered = entries.reduce((sum, count) => sum + count, 0) / entries.length;
  const placed = result.streams - result.unplaced - result.rejected;
  return {
    streams: result.streams,
    unplaced: result.unplaced,
    rejected: result.rejected,
    entryImbalance: Math.max(...entries) / meanEntered,
    meanStepMs: result.stepMs / placed,
    meanShare: result.share / result.samples,
    meanStages: result.stages / placed,
    meanCrossingShare:
      (crossings.reduce((sum, { tokens }) => sum + tokens, 0) * model.activationBytes) /
      (model.domainBytesPerMs * options.seconds * MS_PER_SECOND),
  };
}

/** Places the model as an executor does at the start. */
function placeEngines({ model, engines }: FleetLoadOptions): readonly Engine[] {
  const candidates = Object.entries(engines).flatMap(([failureDomain, counts]) =>
    Object.entries(counts).flatMap(([kind, count]) =>
      Array.from({ length: count }, (_, index) => ({
        id: `${failureDomain}-${kind}-${index}`,
        failureDomain,
        kind,
        layers: undefined,
        isAssignable: true,
        loadShare: 0,
      })),
    ),
  );
  const layersOf = new Map(planLayers(model, candidates).map(({ id, layers }) => [id, layers]));
  return candidates.flatMap(({ id, failureDomain, kind: name }) => {
    const layers = layersOf.get(id);
    const kind = model.kinds.get(name);
    if (layers === undefined || kind === undefined) return [];
    const memoryMb = kind.memoryMb - (layers.to - layers.from) * model.layerMb;
    return {
      id,
      address: id,
      failureDomain,
      kind,
      layers,
      layerStepMs: (kind.stepFactor * model.stepMs) / model.layers,
      capacity: memoryMb / model.tokenLayerMb,
      reserved: 0,
      entered: 0,
      slots: 192,
      firstEventDelayMs: 0,
      acceptsRequests: true,
    };
  });
}
