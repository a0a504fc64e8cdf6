/** Prepares a test bench with a site, a workspace and engines. */

import type { Engine } from '../../engines/engine';
import { confirmIntent } from './confirmIntent';
import type { FakeEngine } from './fakeEngine';
import { createPlanBench, type PlanBench } from './createPlanBench';
import { createEngineIntent, createEngine, SITE, WORKSPACE } from './siteIntents';

/** Time in which an idle bench adds an engine, milliseconds. */
const ADD_MS = 10_000;

export interface PrepareOptions {
  readonly seed?: number;
  readonly count?: number;
  readonly engines?: readonly Engine[];
  /** Whether the engines check fencing numbers. */
  readonly checksFencing?: boolean;
}

/** Creates an engine that holds no layers. */
export function createEmptyEngine(checksFencing: boolean, skewMs = 0): FakeEngine {
  const layers = { from: 0, to: 0 };
  const state = { model: '', modelVersion: '', layers, role: 'idle', leaving: false } as const;
  return { state, highest: 0, running: 0, isDown: false, checksFencing, skewMs };
}

/** Sets up a bench by confirming intents; by default with one engine that holds all layers of `desk`. */
export function prepareBench(options: PrepareOptions = {}): PlanBench {
  const { seed = 7, count = 2, engines = [createEngine('e1')], checksFencing = true } = options;
  const bench = createPlanBench({ seed, count });
  confirmIntent(bench, SITE);
  confirmIntent(bench, WORKSPACE);
  for (const engine of engines) {
    bench.engines.set(engine.id, createEmptyEngine(checksFencing));
    confirmIntent(bench, createEngineIntent(engine, checksFencing), ADD_MS);
  }
  return bench;
}
