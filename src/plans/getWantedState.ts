/** Derives the state that an engine is ordered to adopt. */

import type { EngineState } from '../contracts/engineContract';
import type { Engine } from '../engines/engine';

/** Returns the state of an engine as the configuration defines it. */
export function getWantedState(engine: Engine): EngineState {
  const { model, modelVersion, adapter, layers, role } = engine;
  const state = { model, modelVersion, layers, role, leaving: false };
  return adapter === undefined ? state : { ...state, adapter };
}
