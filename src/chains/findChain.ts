/**
 * Finds the engines that a request passes through: the cheapest sequence of layer ranges that covers
 * the wanted layers once and in order. Engines may hold more than the part they are given, so ranges
 * that overlap or were cut differently still join, which lets the rest of a chain serve on when one
 * of its engines is lost.
 *
 * The cost of a part is its time for a decoding step, raised by how full the engine is. Between two
 * engines of different failure domains the activations of every token cross a link that all requests
 * share, so a crossing is dear; entering the path in another domain only adds the link's delay. An
 * engine without room for the request is left out.
 */

import type { LayerRange } from '../engines/engine';
import type { ChainEngine, Stage } from './layerEngine';

export interface ChainSearch {
  readonly engines: readonly ChainEngine[];
  /** Layers to cover. */
  readonly layers: LayerRange;
  /** Tokens that the request is expected to hold at its end. */
  readonly tokens: number;
  /** Where the path starts: the domain of this VM, or of the stage before. */
  readonly fromDomain: string;
  /** Delay between failure domains, milliseconds. */
  readonly domainDelayMs: number;
  /** Cost of passing activations to another failure domain, milliseconds of a step. */
  readonly crossingMs: number;
  /** Engines that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** False where the path only replaces a part in the middle and so takes no entry slot. */
  readonly isEntry: boolean;
  /** Longest wait for the first event at an engine that is entered, milliseconds. */
  readonly maxStartMs?: number;
  /** Most stages that a path may have. */
  readonly maxStages?: number;
}

/** Parts that one path may name. */
const MAX_STAGES = 32;

/** Share of an engine's memory that may be promised; answers mostly end below their limit. */
const FULL_SHARE = 1;

/** Cost of one more stage, milliseconds: the hop between two engines of a failure domain. */
const STAGE_MS = 0.2;

/** Share of an engine's memory from which its use gets dear, however fast the engine is. */
const CROWDED_SHARE = 0.7;

/** Cost of crowding, in steps of the slowest engine, for the square of the share beyond. */
const CROWDED_FACTOR = 60;

/** How much a full engine's step costs against an empty one's. */
const LOAD_FACTOR = 6;

/** Cost of a wait for the first event, against a step's time: an answer has many steps. */
const START_WEIGHT = 0.05;

interface Reached {
  readonly costMs: number;
  readonly stages: number;
  readonly engine: ChainEngine | undefined;
  readonly from: number;
  readonly previous: Reached | undefined;
}

/** @returns the stages in order, undefined where no path has room */
export function findChain(search: ChainSearch): readonly Stage[] | undefined {
  const { layers, excluded, maxStages = MAX_STAGES, maxStartMs = Infinity } = search;
  const usable = search.engines.filter(
    (engine) =>
      !excluded.has(engine.id) && engine.layers.to > layers.from && engine.layers.from < layers.to,
  );
  const cuts = listCuts(usable, layers);
  const slowestMs = Math.max(0, ...usable.map(({ layerStepMs }) => layerStepMs));
  const reached = new Map<number, Map<string, Reached>>();
  const start: Reached = {
    costMs: 0,
    stages: 0,
    engine: undefined,
    from: layers.from,
    previous: undefined,
  };
  reached.set(layers.from, new Map([[search.fromDomain, start]]));
  for (const position of cuts) {
    const states = reached.get(position);
    if (states === undefined || position >= layers.to) continue;
    for (const engine of usable) {
      if (engine.layers.from > position || engine.layers.to <= position) continue;
      if (position === layers.from && search.isEntry && !isOpen(engine, maxStartMs)) continue;
      extend({ search, engine, position, states, cuts, reached, maxStages, slowestMs });
    }
  }
  const ends = [...(reached.get(layers.to)?.values() ?? [])];
  const best = ends.reduce<Reached | undefined>(
    (least, state) => (least === undefined || state.costMs < least.costMs ? state : least),
    undefined,
  );
  return best === undefined ? undefined : listStages(best, layers.to);
}

interface Extension {
  readonly search: ChainSearch;
  readonly engine: ChainEngine;
  readonly position: number;
  readonly states: ReadonlyMap<string, Reached>;
  readonly cuts: readonly number[];
  readonly reached: Map<number, Map<string, Reached>>;
  readonly maxStages: number;
  /** Step time of a layer on the slowest engine, milliseconds. */
  readonly slowestMs: number;
}

/** Notes the ways on from a position through one engine, to each cut that it reaches. */
function extend(extension: Extension): void {
  const { search, engine, position, states, cuts, reached, maxStages } = extension;
  const end = Math.min(engine.layers.to, search.layers.to);
  for (const [domain, state] of states) {
    if (state.stages >= maxStages || visits(state, engine.id)) continue;
    const isEntering = search.isEntry && state.engine === undefined;
    const elsewhereMs = isEntering ? search.domainDelayMs : search.crossingMs;
    const startMs = isEntering ? engine.startDelayMs * START_WEIGHT : 0;
    const delayMs = startMs + (domain === engine.failureDomain ? 0 : elsewhereMs);
    for (const to of cuts) {
      if (to <= position) continue;
      if (to > end) break;
      const stepMs = stepCost(engine, to - position, search.tokens, extension.slowestMs);
      if (stepMs === undefined) break;
      const costMs = state.costMs + STAGE_MS + delayMs + stepMs;
      if (!Number.isFinite(costMs)) break;
      const there = reached.get(to) ?? new Map<string, Reached>();
      const known = there.get(engine.failureDomain);
      if (known !== undefined && known.costMs <= costMs) continue;
      const next = { costMs, stages: state.stages + 1, engine, from: position, previous: state };
      reached.set(to, there.set(engine.failureDomain, next));
    }
  }
}

/** Whether a request may enter a path here. */
function isOpen(engine: ChainEngine, maxStartMs: number): boolean {
  return engine.entered < engine.slots && engine.startDelayMs <= maxStartMs;
}

function visits(state: Reached, id: string): boolean {
  for (let at: Reached | undefined = state; at !== undefined; at = at.previous) {
    if (at.engine?.id === id) return true;
  }
  return false;
}

/**
 * Milliseconds for a part of an engine's layers; undefined where the request does not fit. A fast engine
 * stays cheap until it is full, so crowding is priced apart from its speed: an engine without memory
 * turns requests away or puts them back.
 */
function stepCost(
  engine: ChainEngine,
  layers: number,
  tokens: number,
  slowestMs: number,
): number | undefined {
  const share = (engine.reserved + layers * tokens) / engine.capacity;
  if (share > FULL_SHARE) return undefined;
  const crowdedMs = slowestMs * CROWDED_FACTOR * Math.max(0, share - CROWDED_SHARE) ** 2;
  return layers * (engine.layerStepMs * (1 + LOAD_FACTOR * share * share) + crowdedMs);
}

/** Every layer at which a part may begin or end, ascending. */
function listCuts(engines: readonly ChainEngine[], layers: LayerRange): readonly number[] {
  const cuts = new Set([layers.from, layers.to]);
  for (const { layers: held } of engines) {
    if (held.from > layers.from) cuts.add(held.from);
    if (held.to < layers.to) cuts.add(held.to);
  }
  return [...cuts].sort((one, other) => one - other);
}

function listStages(last: Reached, end: number): readonly Stage[] {
  const stages: Stage[] = [];
  let to = end;
  for (let at: Reached | undefined = last; at?.engine !== undefined; at = at.previous) {
    const { id, address } = at.engine;
    stages.unshift({ id, address, layers: { from: at.from, to } });
    to = at.from;
  }
  return stages;
}
