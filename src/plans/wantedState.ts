/** The state that an engine is ordered into. */

import type { EngineState } from '../contracts/engineContract';
import type { Engine } from '../engines/engine';

/** Gives what an engine of the configuration is to hold and do. */
export function wantedState(engine: Engine): EngineState {
  const { model, modelVersion, adapter, layers, role } = engine;
  const state = { model, modelVersion, layers, role, leaving: false };
  return adapter === undefined ? state : { ...state, adapter };
}
