/** Returns the load of a model from the admission state. */

import type { ModelId } from '../engines/engine';
import type { ModelLoad } from './admission';
import { createModelLoad } from './createModelLoad';
import type { Router } from './router';

/** @returns the load; a new one before the model's first request */
export function getModelLoad(router: Router, model: ModelId): ModelLoad {
  return router.admission.models.get(model) ?? createModelLoad(router, model);
}
