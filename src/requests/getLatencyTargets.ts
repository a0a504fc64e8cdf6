/** Returns the latency targets of a model. */

import type { ModelId } from '../engines/engine';
import type { Router } from './router';

/** Targets in milliseconds; infinite if no service sets one. */
export interface LatencyTargets {
  readonly firstTokenMs: number;
  readonly tokenIntervalMs: number;
}

/**
 * @param router the router
 * @param model the model
 * @returns the strictest targets of the model's services
 */
export function getLatencyTargets(router: Router, model: ModelId): LatencyTargets {
  let firstTokenMs = Infinity;
  let tokenIntervalMs = Infinity;
  for (const service of router.configuration.service.values()) {
    if (service.kind !== 'model' || service.model !== model) continue;
    firstTokenMs = Math.min(firstTokenMs, service.firstTokenTargetMs);
    tokenIntervalMs = Math.min(tokenIntervalMs, service.tokenIntervalTargetMs);
  }
  return { firstTokenMs, tokenIntervalMs };
}
