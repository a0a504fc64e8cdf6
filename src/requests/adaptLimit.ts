/**
 * Adapts the limit of a model's running requests to what its callers see: in proportion to how far
 * the time to the first token and the time between tokens are from their goals. The time to the first
 * token alone would not do: engines that prefer prompts keep it short long after decoding has slowed.
 */

import type { ModelId } from '../engines/engine';
import type { ModelLoad } from './admission';
import {
  FIRST_TOKEN_GOAL,
  INTERVAL_GOAL,
  LIMIT_FLOOR,
  LIMIT_GAIN,
  LIMIT_USED,
  MOST_PRESSURE,
} from './constants';
import { planLimit } from './planLimit';
import type { Router } from './router';
import { targetsOf } from './targetsOf';

/** What the callers of a model saw lately, milliseconds; 0 where nothing was seen. */
export interface Seen {
  readonly firstTokenMs: number;
  readonly tokenIntervalMs: number;
}

/**
 * @param router the router
 * @param model the model
 * @param load its load
 * @param seen what its callers saw
 * @returns the load with the next limit
 */
export function adaptLimit(router: Router, model: ModelId, load: ModelLoad, seen: Seen): ModelLoad {
  const plannedLimit = planLimit(router, model);
  const followed = load.limit * replanned(load.plannedLimit, plannedLimit);
  const limit = followed * stepOf(load, pressureOf(router, model, seen));
  const bounded = Math.min(router.options.maxRunning, Math.max(LIMIT_FLOOR, limit));
  return { ...load, plannedLimit, limit: bounded };
}

/** The limit keeps its distance from the plan when the plan changes. */
function replanned(before: number, after: number): number {
  return before > 0 ? after / before : 1;
}

/** 1 where the worse of the two times is at its goal. */
function pressureOf(router: Router, model: ModelId, seen: Seen): number {
  const targets = targetsOf(router, model);
  return Math.max(
    seen.firstTokenMs / (FIRST_TOKEN_GOAL * targets.firstTokenMs),
    seen.tokenIntervalMs / (INTERVAL_GOAL * targets.tokenIntervalMs),
  );
}

/**
 * A limit that is not used says nothing of what more requests would do, and one that is lower than
 * what still runs has not been tried yet; both stay.
 */
function stepOf({ limit, running }: ModelLoad, pressure: number): number {
  const isTried = pressure > 1 ? running <= limit : running > limit * LIMIT_USED;
  return isTried ? 1 + LIMIT_GAIN * (1 - Math.min(MOST_PRESSURE, pressure)) : 1;
}
