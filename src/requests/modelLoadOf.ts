/** The load of a model as admission knows it. */

import type { ModelId } from '../engines/engine';
import type { ModelLoad } from './admission';
import { createModelLoad } from './createModelLoad';
import type { Router } from './router';

/** @returns the load; a fresh one before the model's first request */
export function modelLoadOf(router: Router, model: ModelId): ModelLoad {
  return router.admission.models.get(model) ?? createModelLoad(router, model);
}
