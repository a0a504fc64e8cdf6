/** Checks what a plan rests on against a configuration. */

import type { Change, Configuration } from '../configuration/configuration';
import { applyChanges } from './applyChanges';
import { digestObject } from './digestObject';
import type { Precondition } from './plan';
import { predictModelThroughput } from './predictModelThroughput';

/** Share of a stated capacity by which rounding may miss it. */
const CAPACITY_TOLERANCE = 1e-9;

type Check<Condition> = (
  condition: Condition,
  now: Configuration,
  after: Configuration,
) => string | undefined;

type Checks = {
  readonly [Type in Precondition['type']]: Check<Extract<Precondition, { readonly type: Type }>>;
};

const checks: Checks = {
  unchanged: ({ kind, key, digest }, now) => {
    if (digestObject(now[kind].get(key)) === digest) return undefined;
    return `${kind} ${key} has changed since the plan was made`;
  },
  exists: ({ kind, key }, now) =>
    now[kind].has(key) ? undefined : `${kind} ${key} no longer exists`,
  capacity: ({ model, tokensPerSecond }, _now, after) => {
    const predicted = predictModelThroughput(after, model);
    if (predicted >= tokensPerSecond * (1 - CAPACITY_TOLERANCE)) return undefined;
    const wanted = Math.floor(tokensPerSecond);
    return `model ${model} would reach ${Math.floor(predicted)} tokens/s and needs ${wanted}`;
  },
};

/**
 * Checks preconditions.
 *
 * @param configuration the configuration that the changes would be made on
 * @param preconditions what must hold
 * @param changes the changes of the step, on which capacity is judged
 * @returns in words what does not hold; empty where everything does
 */
export function checkPreconditions(
  configuration: Configuration,
  preconditions: readonly Precondition[],
  changes: readonly Change[],
): readonly string[] {
  const after = applyChanges(configuration, changes);
  return preconditions.flatMap((condition) => {
    const check = checks[condition.type] as Check<Precondition>;
    return check(condition, configuration, after) ?? [];
  });
}
