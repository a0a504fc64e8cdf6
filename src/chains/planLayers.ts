/**
 * Decides which layers each engine holds.
 *
 * Every engine of a chain leaves the same room for requests, counted in tokens, since the fullest
 * engine bounds the chain. Chains are closed within a failure domain first: a token then crosses no
 * slow link, and the loss of a domain takes only its own chains. Engines that are left over or come
 * back empty take the layers for which the fewest tokens fit, so a hole is filled before a spare copy
 * is made.
 */

import type { LayerRange } from '../engines/engine';
import type { PipelineModel } from './pipelineModel';

export interface PlacementCandidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly kind: string;
  /** Layers that it holds or was told to hold; undefined for an empty engine. */
  readonly layers: LayerRange | undefined;
  /** It may be given other layers; false for one that is leaving or already at work on an order. */
  readonly isFree: boolean;
  /** Part of its memory for requests that is taken, 0 to 1; the least loaded spare moves first. */
  readonly loadShare: number;
}

export interface LayerOrder {
  readonly id: string;
  readonly layers: LayerRange;
}

/** Requests of usual size that every engine of a chain has room for beside its layers. */
const RESERVED_REQUESTS = 64;

/** Weight of the own failure domain's shortage against the shortage of all. */
const DOMAIN_WEIGHT = 2;

/** Tokens added to a layer's room before it is inverted, so that an uncovered layer weighs most. */
const SHORTAGE_OFFSET = 2_000;

/**
 * Plans orders for the engines that can take layers.
 *
 * @param model the model and its kinds of engines
 * @param engines all engines of the model, in any order
 * @returns orders for empty engines; where there is none, for spare copies whose failure domain lacks
 *   other layers
 */
export function planLayers(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const sorted = [...engines].sort((one, other) => (one.id < other.id ? -1 : 1));
  const isFresh = sorted.every(({ layers }) => layers === undefined);
  const first = isFresh ? closeChains(model, sorted) : [];
  const placed = applyOrders(sorted, first);
  const filled = fillShortages(model, placed);
  const orders = [...first, ...filled];
  return orders.length > 0 ? orders : moveSpares(model, placed);
}

/** Tokens that an engine must leave room for. */
function reservedTokens(model: PipelineModel): number {
  return RESERVED_REQUESTS * (model.usualPromptTokens + model.usualAnswerTokens);
}

/** Layers that an engine can hold beside the reserved room; 0 for a kind that is not known. */
function layerRoom(model: PipelineModel, kind: string): number {
  const memoryMb = model.kinds.get(kind)?.memoryMb ?? 0;
  const perLayerMb = model.layerMb + model.tokenLayerMb * reservedTokens(model);
  const room = Math.floor(memoryMb / perLayerMb);
  const bare = memoryMb > model.layerMb * 2 ? 1 : 0;
  return Math.min(model.layers, Math.max(room, bare));
}

/** Tokens that fit on an engine that holds so many layers. */
function tokenRoom(model: PipelineModel, kind: string, layers: number): number {
  const memoryMb = model.kinds.get(kind)?.memoryMb ?? 0;
  return Math.max(0, (memoryMb - layers * model.layerMb) / (model.tokenLayerMb * layers));
}

/** Closes as many chains as fit, in each failure domain, then over what is left. */
function closeChains(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))].sort();
  const orders: LayerOrder[] = [];
  for (const domain of domains) {
    orders.push(
      ...tile(
        model,
        engines.filter(({ failureDomain }) => failureDomain === domain),
      ),
    );
  }
  const used = new Set(orders.map(({ id }) => id));
  const left = engines.filter(({ id }) => !used.has(id));
  return [...orders, ...tileAcross(model, left)];
}

/** Closes chains over several domains, each domain's engines side by side: a crossing is dear. */
function tileAcross(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const orders: LayerOrder[] = [];
  let left = [...engines]
    .filter(({ isFree, kind }) => isFree && layerRoom(model, kind) > 0)
    .sort((one, other) => (one.failureDomain < other.failureDomain ? -1 : 1));
  for (;;) {
    const chain = closeInOrder(model, left);
    if (chain === undefined) return orders;
    orders.push(...chain);
    const used = new Set(chain.map(({ id }) => id));
    left = left.filter(({ id }) => !used.has(id));
  }
}

function closeInOrder(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] | undefined {
  const orders: LayerOrder[] = [];
  let from = 0;
  for (const { id, kind } of engines) {
    const to = Math.min(model.layers, from + layerRoom(model, kind));
    orders.push({ id, layers: { from, to } });
    if (to === model.layers) return orders;
    from = to;
  }
  return undefined;
}

/** Lays engines end to end until no further chain can be closed. */
function tile(model: PipelineModel, engines: readonly PlacementCandidate[]): readonly LayerOrder[] {
  let left = engines
    .filter(({ isFree, kind }) => isFree && layerRoom(model, kind) > 0)
    .sort((one, other) => layerRoom(model, other.kind) - layerRoom(model, one.kind));
  const orders: LayerOrder[] = [];
  for (;;) {
    const chain = closeChain(model, left);
    if (chain === undefined) return orders;
    orders.push(...chain);
    const used = new Set(chain.map(({ id }) => id));
    left = left.filter(({ id }) => !used.has(id));
  }
}

/** One chain of the largest engines; its end goes to the smallest engine that covers what is left. */
function closeChain(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] | undefined {
  const orders: LayerOrder[] = [];
  const left = [...engines];
  let from = 0;
  while (from < model.layers) {
    const missing = model.layers - from;
    const covering = left.findLastIndex(({ kind }) => layerRoom(model, kind) >= missing);
    const [engine] = left.splice(Math.max(0, covering), 1);
    if (engine === undefined) return undefined;
    const to = Math.min(model.layers, from + layerRoom(model, engine.kind));
    orders.push({ id: engine.id, layers: { from, to } });
    from = to;
  }
  return orders;
}

function applyOrders(
  engines: readonly PlacementCandidate[],
  orders: readonly LayerOrder[],
): readonly PlacementCandidate[] {
  const layersOf = new Map(orders.map(({ id, layers }) => [id, layers]));
  return engines.map((engine) => ({ ...engine, layers: layersOf.get(engine.id) ?? engine.layers }));
}

/** Gives each empty engine the range where the fewest tokens fit, largest engines first. */
function fillShortages(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const empty = engines
    .filter(
      ({ layers, isFree, kind }) => layers === undefined && isFree && layerRoom(model, kind) > 0,
    )
    .sort((one, other) => layerRoom(model, other.kind) - layerRoom(model, one.kind));
  const placed = [...engines];
  return empty.map((engine) => {
    const layers = shortestRange(model, placed, engine);
    placed.push({ ...engine, layers });
    return { id: engine.id, layers };
  });
}

/** The range of an engine's size that covers the greatest shortage. */
function shortestRange(
  model: PipelineModel,
  placed: readonly PlacementCandidate[],
  { kind, failureDomain }: PlacementCandidate,
): LayerRange {
  const all = roomByLayer(model, placed);
  const own = roomByLayer(
    model,
    placed.filter((engine) => engine.failureDomain === failureDomain),
  );
  const shortage = all.map(
    (tokens, layer) =>
      1 / (tokens + SHORTAGE_OFFSET) + DOMAIN_WEIGHT / ((own[layer] ?? 0) + SHORTAGE_OFFSET),
  );
  const size = layerRoom(model, kind);
  let best = 0;
  let bestShortage = -1;
  for (let from = 0; from + size <= model.layers; from += 1) {
    const covered = shortage.slice(from, from + size).reduce((sum, value) => sum + value, 0);
    if (covered <= bestShortage * (1 + Number.EPSILON * model.layers)) continue;
    best = from;
    bestShortage = covered;
  }
  return { from: best, to: best + size };
}

/** Tokens that fit on each layer, over the engines that hold it. */
function roomByLayer(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly number[] {
  const room = Array.from({ length: model.layers }, () => 0);
  for (const { kind, layers } of engines) {
    if (layers === undefined) continue;
    const tokens = tokenRoom(model, kind, layers.to - layers.from);
    for (let layer = layers.from; layer < layers.to; layer += 1) {
      room[layer] = (room[layer] ?? 0) + tokens;
    }
  }
  return room;
}

/** Turns spare copies over to layers that their failure domain lacks, one engine of each at a time. */
function moveSpares(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))].sort();
  const orders = domains.flatMap((domain) => {
    const own = engines.filter(({ failureDomain }) => failureDomain === domain);
    const room = own.reduce((sum, { kind }) => sum + layerRoom(model, kind), 0);
    return room < model.layers ? [] : moveSpare(model, own);
  });
  return orders.length > 0 ? orders : moveSpare(model, engines);
}

/** Number of engines that hold each layer. */
function countHolders(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly number[] {
  const holders = Array.from({ length: model.layers }, () => 0);
  for (const { layers } of engines) {
    if (layers === undefined) continue;
    for (let layer = layers.from; layer < layers.to; layer += 1) {
      holders[layer] = (holders[layer] ?? 0) + 1;
    }
  }
  return holders;
}

/** Turns one engine over to the first layers that nobody holds, if its own have another holder. */
function moveSpare(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const holders = countHolders(model, engines);
  const from = holders.indexOf(0);
  if (from < 0 || engines.every(({ layers }) => layers === undefined)) return [];
  let to = from;
  while (to < model.layers && holders[to] === 0) to += 1;
  const spares = engines.filter(
    ({ layers, isFree, kind }) =>
      isFree &&
      layers !== undefined &&
      layerRoom(model, kind) > 0 &&
      holders.slice(layers.from, layers.to).every((count) => count > 1),
  );
  const cost = ({ kind, loadShare }: PlacementCandidate): number =>
    Math.abs(layerRoom(model, kind) - (to - from)) / model.layers + loadShare;
  const [spare] = spares.sort((one, other) => cost(one) - cost(other));
  if (spare === undefined) return [];
  const size = Math.min(layerRoom(model, spare.kind), to - from);
  return [{ id: spare.id, layers: { from, to: from + size } }];
}
