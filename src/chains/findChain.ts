/**
 * Finds the engines for a request: the cheapest sequence of layer ranges that covers the wanted layers
 * once and in order. A stage may use a part of the layers that its engine holds, so ranges that overlap
 * or have different boundaries can be joined, and the rest of a chain stays usable after one of its
 * engines fails.
 *
 * The cost of a stage is its time for a decoding step, increased with the engine's load. Between engines
 * of different failure domains the activations of every token use a link that all requests share, so a
 * cross-domain hop is expensive; starting the path in another domain only adds the link's delay. Engines
 * without capacity for the request are excluded.
 */

import type { LayerRange } from '../engines/engine';
import type { ChainEngine, Stage } from './layerEngine';

export interface ChainSearch {
  readonly engines: readonly ChainEngine[];
  /** Layers to cover. */
  readonly layers: LayerRange;
  /** Tokens that the request is expected to hold at its end. */
  readonly tokens: number;
  /** Failure domain in which the path starts: that of this VM or of the previous stage. */
  readonly fromDomain: string;
  /** Delay between failure domains, milliseconds. */
  readonly domainDelayMs: number;
  /** Cost of a cross-domain hop, milliseconds per decoding step. */
  readonly crossDomainMs: number;
  /** Engines that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Engines at which the path may start; all if undefined. */
  readonly entries?: ReadonlySet<string> | undefined;
  /** False if the path replaces stages in the middle of a chain and needs no entry slot. */
  readonly isEntry: boolean;
  /** Maximum first-event delay of the engine at which the path starts, milliseconds. */
  readonly maxFirstEventDelayMs?: number;
  /** Share of an engine's memory and places that may be taken. */
  readonly maxShare?: number;
  /** Maximum number of stages. */
  readonly maxStages?: number;
}

/** Default maximum number of stages. */
const MAX_STAGES = 32;

/** Share of an engine's memory that may be reserved; most answers end below their limit. */
const FULL_SHARE = 1;

/** Cost of each stage: the hop between two engines of a failure domain. */
const STAGE_MS = 0.2;

/** Share of an engine's memory above which crowding adds cost, independent of the engine's speed. */
const CROWDED_SHARE = 0.7;

/** Cost of crowding, in steps of the slowest engine, per square of the share above `CROWDED_SHARE`. */
const CROWDED_FACTOR = 60;

/** Cost that a full engine adds to its step, as a multiple of the step time of an empty engine. */
const LOAD_FACTOR = 6;

/** Weight of the first-event delay relative to the time of a step; an answer has many steps. */
const START_WEIGHT = 0.05;

/** The cheapest known path to a layer boundary that ends in one failure domain. */
interface PathState {
  readonly costMs: number;
  readonly stages: number;
  readonly engine: ChainEngine | undefined;
  readonly from: number;
  readonly previous: PathState | undefined;
}

/** @returns the stages in order; undefined if no path has capacity */
export function findChain(search: ChainSearch): readonly Stage[] | undefined {
  const { layers, excluded, maxStages = MAX_STAGES } = search;
  const usable = search.engines.filter(
    (engine) =>
      !excluded.has(engine.id) && engine.layers.to > layers.from && engine.layers.from < layers.to,
  );
  const boundaries = listBoundaries(usable, layers);
  const slowestMs = Math.max(0, ...usable.map(({ layerStepMs }) => layerStepMs));
  const reached = new Map<number, Map<string, PathState>>();
  const start: PathState = {
    costMs: 0,
    stages: 0,
    engine: undefined,
    from: layers.from,
    previous: undefined,
  };
  reached.set(layers.from, new Map([[search.fromDomain, start]]));
  for (const position of boundaries) {
    const states = reached.get(position);
    if (states === undefined || position >= layers.to) continue;
    for (const engine of usable) {
      if (engine.layers.from > position || engine.layers.to <= position) continue;
      if (position === layers.from && search.isEntry && !canStartAt(engine, search)) continue;
      extendPaths({ search, engine, position, states, boundaries, reached, maxStages, slowestMs });
    }
  }
  const ends = [...(reached.get(layers.to)?.values() ?? [])];
  const best = ends.reduce<PathState | undefined>(
    (least, state) => (least === undefined || state.costMs < least.costMs ? state : least),
    undefined,
  );
  return best === undefined ? undefined : listStages(best, layers.to);
}

interface PathExtension {
  readonly search: ChainSearch;
  readonly engine: ChainEngine;
  readonly position: number;
  readonly states: ReadonlyMap<string, PathState>;
  readonly boundaries: readonly number[];
  readonly reached: Map<number, Map<string, PathState>>;
  readonly maxStages: number;
  /** Step time of a layer on the slowest engine, milliseconds. */
  readonly slowestMs: number;
}

/** Extends the paths that end at a position by one engine, to each boundary within its layers. */
function extendPaths(extension: PathExtension): void {
  const { search, engine, position, states, boundaries, reached, maxStages } = extension;
  const end = Math.min(engine.layers.to, search.layers.to);
  for (const [domain, state] of states) {
    if (state.stages >= maxStages || includesEngine(state, engine.id)) continue;
    const isEntering = search.isEntry && state.engine === undefined;
    const otherDomainMs = isEntering ? search.domainDelayMs : search.crossDomainMs;
    const startCostMs = isEntering ? engine.firstEventDelayMs * START_WEIGHT : 0;
    const hopCostMs = startCostMs + (domain === engine.failureDomain ? 0 : otherDomainMs);
    for (const to of boundaries) {
      if (to <= position) continue;
      if (to > end) break;
      const stepMs = computeStepCost(engine, to - position, search, extension.slowestMs);
      if (stepMs === undefined) break;
      const costMs = state.costMs + STAGE_MS + hopCostMs + stepMs;
      if (!Number.isFinite(costMs)) break;
      const statesAtEnd = reached.get(to) ?? new Map<string, PathState>();
      const known = statesAtEnd.get(engine.failureDomain);
      if (known !== undefined && known.costMs <= costMs) continue;
      const next = { costMs, stages: state.stages + 1, engine, from: position, previous: state };
      reached.set(to, statesAtEnd.set(engine.failureDomain, next));
    }
  }
}

/** Whether a path may start at the engine. */
function canStartAt(
  engine: ChainEngine,
  { entries, maxFirstEventDelayMs = Infinity, maxShare = FULL_SHARE }: ChainSearch,
): boolean {
  return (
    engine.acceptsRequests &&
    engine.entered < engine.slots * maxShare &&
    engine.firstEventDelayMs <= maxFirstEventDelayMs &&
    (entries?.has(engine.id) ?? true)
  );
}

function includesEngine(state: PathState, id: string): boolean {
  for (let at: PathState | undefined = state; at !== undefined; at = at.previous) {
    if (at.engine?.id === id) return true;
  }
  return false;
}

/**
 * Cost of some layers of an engine, milliseconds; undefined if the request does not fit. A fast engine
 * would stay cheap until it is full, so the cost of crowding does not depend on its speed: an engine that
 * runs out of memory refuses or preempts requests.
 */
function computeStepCost(
  engine: ChainEngine,
  layers: number,
  { tokens, maxShare = FULL_SHARE }: Pick<ChainSearch, 'tokens' | 'maxShare'>,
  slowestMs: number,
): number | undefined {
  const share = (engine.reserved + layers * tokens) / engine.capacity;
  if (share > maxShare) return undefined;
  const crowdedMs = slowestMs * CROWDED_FACTOR * Math.max(0, share - CROWDED_SHARE) ** 2;
  return layers * (engine.layerStepMs * (1 + LOAD_FACTOR * share * share) + crowdedMs);
}

/** All layers at which a stage may start or end, ascending. */
function listBoundaries(engines: readonly ChainEngine[], layers: LayerRange): readonly number[] {
  const boundaries = new Set([layers.from, layers.to]);
  for (const { layers: held } of engines) {
    if (held.from > layers.from) boundaries.add(held.from);
    if (held.to < layers.to) boundaries.add(held.to);
  }
  return [...boundaries].sort((one, other) => one - other);
}

function listStages(last: PathState, end: number): readonly Stage[] {
  const stages: Stage[] = [];
  let to = end;
  for (let at: PathState | undefined = last; at?.engine !== undefined; at = at.previous) {
    const { id, address } = at.engine;
    stages.unshift({ id, address, layers: { from: at.from, to } });
    to = at.from;
  }
  return stages;
}
