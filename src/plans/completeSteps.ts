/**
 * Completes the steps of a draft with the state that precedes them, which undoing them restores.
 */

import type { Change, Configuration } from '../configuration/configuration';
import { applyChanges } from './applyChanges';
import type { DraftStep } from './draft';
import type { PlanStep } from './plan';
import { getWantedState } from './getWantedState';

/**
 * Completes the steps by applying them in order to a configuration.
 *
 * @param before the configuration that the plan is made on
 * @param drafts the steps in order
 * @returns the steps, and the configurations before the first step and after each commit
 */
export function completeSteps(
  before: Configuration,
  drafts: readonly DraftStep[],
): { readonly steps: readonly PlanStep[]; readonly stages: readonly Configuration[] } {
  const steps: PlanStep[] = [];
  const stages: Configuration[] = [before];
  let now = before;
  for (const draft of drafts) {
    steps.push(completeStep(now, before, draft));
    if (draft.type !== 'commit') continue;
    now = applyChanges(now, draft.changes);
    stages.push(now);
  }
  return { steps, stages };
}

function completeStep(now: Configuration, before: Configuration, draft: DraftStep): PlanStep {
  if (draft.type === 'commit') {
    return { ...draft, undo: draft.changes.map((change) => invertChange(now, change)) };
  }
  if (draft.type === 'order') {
    const engine = before.engine.get(draft.engine);
    return { ...draft, before: engine === undefined ? undefined : getWantedState(engine) };
  }
  return draft;
}

function invertChange(now: Configuration, { kind, key }: Change): Change {
  const value = now[kind].get(key);
  if (value === undefined) return { type: 'remove', kind, key };
  return { type: 'put', kind, key, value } as Change;
}
