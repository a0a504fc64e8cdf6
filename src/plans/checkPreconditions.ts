/** Checks the preconditions of a plan against a configuration. */

import type { Change, Configuration } from '../configuration/configuration';
import { applyChanges } from './applyChanges';
import { digestObject } from './digestObject';
import type { Precondition } from './plan';
import { predictModelThroughput } from './predictModelThroughput';

/** Share of a required capacity by which a prediction may fall short because of rounding. */
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
 * @param configuration the configuration to which the changes apply
 * @param preconditions the conditions to check
 * @param changes the changes of the step; capacity is checked with them applied
 * @returns one message for each condition that does not hold
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
