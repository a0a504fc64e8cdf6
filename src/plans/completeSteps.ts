/** Completes the steps of a draft with what they will find, so that they can be taken back. */

import type { Change, Configuration } from '../configuration/configuration';
import { applyChanges } from './applyChanges';
import type { DraftStep } from './draft';
import type { PlanStep } from './plan';
import { wantedState } from './wantedState';

/**
 * Walks the steps over a configuration.
 *
 * @param before the configuration that the plan is made on
 * @param drafts the steps in order
 * @returns the steps, and the configuration after each commit, the last one being the final one
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
    return { ...draft, undo: draft.changes.map((change) => invert(now, change)) };
  }
  if (draft.type === 'order') {
    const engine = before.engine.get(draft.engine);
    return { ...draft, before: engine === undefined ? undefined : wantedState(engine) };
  }
  return draft;
}

function invert(now: Configuration, { kind, key }: Change): Change {
  const value = now[kind].get(key);
  if (value === undefined) return { type: 'remove', kind, key };
  return { type: 'put', kind, key, value } as Change;
}
