/** Estimates the cost of a plan: its duration and its load on the weight store. */

import type { Configuration } from '../configuration/configuration';
import type { PlanCost, PlanStep } from './plan';
import { WEIGHT_STORE_BYTES_PER_SECOND } from './planLimits';

/** Expected time until every VM has applied a commit, seconds. */
const COMMIT_SECONDS = 2;

/** Expected time until an engine has finished its running requests, seconds. */
const DRAIN_SECONDS = 30;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1000;

/**
 * Adds up the costs of a plan's steps.
 *
 * @param before the configuration that the plan is made on
 * @param stages the configurations between the commits, for models that the plan adds
 * @param steps the plan's steps
 */
export function estimatePlanCost(
  before: Configuration,
  stages: readonly Configuration[],
  steps: readonly PlanStep[],
): PlanCost {
  const last = stages.at(-1) ?? before;
  const bytes = steps.map((step) => computeFetchedBytes(last, step));
  const weightStoreBytes = bytes.reduce((sum, part) => sum + part, 0);
  const waits = steps.map(estimateWaitSeconds).reduce((sum, part) => sum + part, 0);
  const seconds = Math.ceil(waits + weightStoreBytes / WEIGHT_STORE_BYTES_PER_SECOND);
  return { seconds, weightStoreBytes };
}

/**
 * Bytes of the layers that an engine has to fetch for an order: those that it does not hold
 * already.
 */
function computeFetchedBytes(configuration: Configuration, step: PlanStep): number {
  if (step.type !== 'order') return 0;
  const { wanted, before } = step;
  const model = configuration.model.get(wanted.model);
  if (model === undefined) return 0;
  const isSameModel = before?.model === wanted.model && before.modelVersion === wanted.modelVersion;
  const kept = isSameModel
    ? Math.min(wanted.layers.to, before.layers.to) -
      Math.max(wanted.layers.from, before.layers.from)
    : 0;
  const fetched = wanted.layers.to - wanted.layers.from - Math.max(0, kept);
  return fetched * model.bytesPerLayer;
}

function estimateWaitSeconds(step: PlanStep): number {
  const seconds: Readonly<Record<PlanStep['type'], number>> = {
    commit: COMMIT_SECONDS,
    order: 0,
    drain: DRAIN_SECONDS,
    'drain-vm': 0,
  };
  const wait = step.type === 'drain' ? step.waitMs / MS_PER_SECOND : 0;
  return Math.max(seconds[step.type], wait);
}
