/**
 * A model engine in virtual time: batches continuously, takes prompts in chunks, holds KV cache for
 * running sequences and keeps it for a while after a stream breaks. Its times come from the figures of
 * its accelerators.
 */

import { computeDecodeStepMicros } from '../src/engines/computeDecodeStepMicros';
import type { AcceleratorKind, Engine, LayerRange, Model } from '../src/engines/engine';
import { computeKvBudgetBytes } from '../src/engines/computeKvBudgetBytes';
import { computePrefillMicros } from '../src/engines/computePrefillMicros';
import type { RequestId } from '../src/requests/request';
import { MICROS_PER_MS } from '../src/units';
import type { EventQueue } from './createEventQueue';

/** Prompt tokens that one step takes beside its decodes. */
const PREFILL_CHUNK = 512;

/** What one stage has to do for one stream now. */
export interface Work {
  readonly request: RequestId;
  readonly layers: LayerRange;
  /** Most tokens that the sequence can grow to, for which KV memory is held. */
  readonly maxTokens: number;
  /** Prompt tokens still to run before the next decode. */
  prefillLeft: number;
  readonly isCancelled: () => boolean;
  readonly done: () => void;
}

export interface FakeEngine {
  readonly engine: Engine;
  state: 'live' | 'dead' | 'stalled';
  readonly waiting: Work[];
  /** KV bytes held for each request. */
  readonly held: Map<RequestId, number>;
  heldBytes: number;
  /** Tokens whose KV is cached, by request; kept after a stream breaks. */
  readonly cached: Map<RequestId, number>;
  isBusy: boolean;
  /** Counts crashes, so that a step which the crash cut is not taken for done. */
  life: number;
  reports: number;
  /** Prompt tokens run, weighed by layers. */
  prefilledLayerTokens: number;
  readonly kind: AcceleratorKind;
  readonly kvBytes: number;
  readonly model: Model;
}

/** Starts an engine that has nothing to do. */
export function createFakeEngine(engine: Engine, kind: AcceleratorKind, model: Model): FakeEngine {
  return {
    engine,
    state: 'live',
    waiting: [],
    held: new Map(),
    heldBytes: 0,
    cached: new Map(),
    isBusy: false,
    life: 0,
    reports: 0,
    prefilledLayerTokens: 0,
    kind,
    kvBytes: computeKvBudgetBytes(engine, kind, model),
    model,
  };
}

/** Hands work to an engine; it runs once its turn comes. */
export function giveWork(fake: FakeEngine, work: Work, queue: EventQueue): void {
  if (fake.state === 'dead') return;
  fake.waiting.push(work);
  runStep(fake, queue);
}

/** Frees the KV memory of a sequence that ended. */
export function freeKv(fake: FakeEngine, request: RequestId): void {
  fake.heldBytes -= fake.held.get(request) ?? 0;
  fake.held.delete(request);
}

/** Runs one step if the engine is free, and the next ones after it. */
export function runStep(fake: FakeEngine, queue: EventQueue): void {
  if (fake.isBusy || fake.state !== 'live' || fake.waiting.length === 0) return;
  const batch = takeBatch(fake);
  if (batch.length === 0) return;
  fake.isBusy = true;
  const { life } = fake;
  queue.after(stepMicros(fake, batch) / MICROS_PER_MS, () => {
    if (fake.life !== life) return;
    finishStep(fake, batch, queue);
  });
}

interface Part {
  readonly work: Work;
  /** Prompt tokens that this step runs; 0 for a decode. */
  readonly prefill: number;
}

function finishStep(fake: FakeEngine, batch: readonly Part[], queue: EventQueue): void {
  if (fake.state === 'stalled') {
    queue.after(1, () => {
      if (fake.state !== 'dead') finishStep(fake, batch, queue);
    });
    return;
  }
  fake.isBusy = false;
  for (const { work, prefill } of batch) {
    if (prefill === 0) work.done();
    else {
      work.prefillLeft -= prefill;
      const layers = work.layers.to - work.layers.from;
      fake.prefilledLayerTokens += prefill * layers;
      if (!work.isCancelled()) fake.waiting.unshift(work);
    }
  }
  runStep(fake, queue);
}

function takeBatch(fake: FakeEngine): readonly Part[] {
  const batch: Part[] = [];
  const later: Work[] = [];
  let decodes = 0;
  let range: LayerRange | undefined;
  let prefillRoom = PREFILL_CHUNK;
  for (const work of fake.waiting.splice(0)) {
    if (work.isCancelled()) continue;
    if (!holdKv(fake, work)) later.push(work);
    else if (work.prefillLeft > 0 && prefillRoom > 0) {
      const prefill = Math.min(work.prefillLeft, prefillRoom);
      prefillRoom -= prefill;
      batch.push({ work, prefill });
    } else if (
      work.prefillLeft === 0 &&
      decodes < fake.kind.maxBatch &&
      isSame(range, work.layers)
    ) {
      decodes += 1;
      range = work.layers;
      batch.push({ work, prefill: 0 });
    } else later.push(work);
  }
  fake.waiting.push(...later);
  return batch;
}

/** Sequences that run the same layers share a step; the first one decides which. */
function isSame(range: LayerRange | undefined, { from, to }: LayerRange): boolean {
  return range === undefined || (range.from === from && range.to === to);
}

/** Holds KV memory for a sequence; false while none is free. */
function holdKv(fake: FakeEngine, { request, layers, maxTokens }: Work): boolean {
  if (fake.held.has(request)) return true;
  const bytes = maxTokens * (layers.to - layers.from) * fake.model.kvBytesPerTokenLayer;
  if (fake.heldBytes + bytes > fake.kvBytes) return false;
  fake.held.set(request, bytes);
  fake.heldBytes += bytes;
  return true;
}

/** Each layer that any sequence runs is paid for once; prompts and sequences add to that. */
function stepMicros(fake: FakeEngine, batch: readonly Part[]): number {
  const { kind, engine } = fake;
  const { accelerators } = engine;
  let from = Infinity;
  let to = 0;
  let micros = 0;
  for (const { work, prefill } of batch) {
    const layers = work.layers.to - work.layers.from;
    micros += computePrefillMicros(kind, accelerators, layers, prefill);
    if (prefill > 0) continue;
    from = Math.min(from, work.layers.from);
    to = Math.max(to, work.layers.to);
    micros += (layers * kind.decodeMicrosPerSequence) / accelerators;
  }
  return micros + (to > from ? computeDecodeStepMicros(kind, accelerators, to - from, 0) : 0);
}
