/** A bench with a site, a workspace and engines. */

import type { Engine } from '../../engines/engine';
import { confirmIntent } from './confirmIntent';
import type { FakeEngine } from './fakeEngine';
import { createPlanBench, type PlanBench } from './planBench';
import { engineIntent, engineOf, SITE, WORKSPACE } from './siteIntents';

/** Time in which a quiet bench adds an engine, milliseconds. */
const ADD_MS = 10_000;

export interface PrepareOptions {
  readonly seed?: number;
  readonly count?: number;
  readonly engines?: readonly Engine[];
  /** Whether the engines check fencing numbers. */
  readonly checksFencing?: boolean;
}

/** An engine that holds nothing yet. */
export function emptyEngine(checksFencing: boolean, skewMs = 0): FakeEngine {
  const layers = { from: 0, to: 0 };
  const state = { model: '', modelVersion: '', layers, role: 'idle', leaving: false } as const;
  return { state, highest: 0, running: 0, isDown: false, checksFencing, skewMs };
}

/** Sets up a bench by its own intents; by default with one engine that holds all of model desk. */
export function prepareBench(options: PrepareOptions = {}): PlanBench {
  const { seed = 7, count = 2, engines = [engineOf('e1')], checksFencing = true } = options;
  const bench = createPlanBench({ seed, count });
  confirmIntent(bench, SITE);
  confirmIntent(bench, WORKSPACE);
  for (const engine of engines) {
    bench.engines.set(engine.id, emptyEngine(checksFencing));
    confirmIntent(bench, engineIntent(engine, checksFencing), ADD_MS);
  }
  return bench;
}
