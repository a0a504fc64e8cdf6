/** Applies the outcome of one try to an idempotent call. */

import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import { chain } from './chain';
import type { BackendOutcome } from './backendOutcome';
import type { PlainAnswer } from './operationMessage';
import { HEDGE_QUANTILE, RETRY_AFTER_MS } from './operationLimits';
import type { Dispatch, Lookup, OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { retryLookup } from './retryLookup';
import { step, type OperationsStep } from './step';

type LookupDispatch = Extract<Dispatch, { readonly type: 'lookup' }>;

/** Step of the quantile estimate, as a share of the estimate. */
const QUANTILE_STEP = 0.05;

/** Answers the caller, tries another server, waits for a pending try, or abandons the look-up. */
export function completeLookupTry(
  state: OperationsState,
  dispatch: LookupDispatch,
  outcome: BackendOutcome,
  at: Occurrence,
): OperationsStep {
  const lookup = state.lookups.get(dispatch.call);
  if (lookup === undefined) return step(state);
  if (outcome.type === 'answered') {
    const next = updateQuantile(state, lookup, at.atMs - dispatch.startedAtMs);
    return answerLookup(next, lookup, outcome.answer);
  }
  const failed = {
    ...lookup,
    pending: lookup.pending - 1,
    worst: chooseWorse(lookup.worst, outcome.type === 'error' ? 'failed' : outcome.type),
    detail: outcome.detail,
  };
  const next = { ...state, lookups: state.lookups.set(dispatch.call, failed) };
  const retried = retryLookup(next, failed, at);
  if (retried !== undefined) return retried;
  return failed.pending > 0 ? step(next) : abandonLookup(next, failed);
}

function answerLookup(state: OperationsState, lookup: Lookup, answer: PlainAnswer): OperationsStep {
  const { call } = lookup.call;
  return step(
    { ...state, lookups: state.lookups.delete(call) },
    { type: 'answer', call, result: { type: 'answered', answer } },
    { type: 'clear-timer', timer: `hedge ${call}` },
    { type: 'count', counter: 'lookups_answered', by: 1 },
  );
}

function abandonLookup(state: OperationsState, lookup: Lookup): OperationsStep {
  const { call } = lookup.call;
  return chain(
    { ...state, lookups: state.lookups.delete(call) },
    (next) => step(next, { type: 'clear-timer', timer: `hedge ${call}` }),
    (next) => refuseCall(next, call, createRefusal(lookup)),
  );
}

function createRefusal(lookup: Lookup): Refusal {
  const { worst, detail } = lookup;
  const reason = `lookup-${worst}`;
  if (worst !== 'not-run') return { outcome: worst, reason, detail };
  return { outcome: worst, reason, detail, retryAfterMs: RETRY_AFTER_MS };
}

const severity = { 'not-run': 0, failed: 1, unknown: 2 } as const;

function chooseWorse(left: Lookup['worst'], right: Lookup['worst']): Lookup['worst'] {
  return severity[left] >= severity[right] ? left : right;
}

/** Moves the estimate up or down; it converges to the quantile (stochastic approximation). */
function updateQuantile(state: OperationsState, lookup: Lookup, tookMs: number): OperationsState {
  const name = `${lookup.call.workspace}/${lookup.call.service}`;
  const stats = state.lookupStats.get(name);
  if (stats === undefined) return state;
  const stepMs = QUANTILE_STEP * Math.max(1, stats.quantileMs);
  const up = stepMs * HEDGE_QUANTILE;
  const down = stepMs * (1 - HEDGE_QUANTILE);
  const quantileMs = tookMs > stats.quantileMs ? stats.quantileMs + up : stats.quantileMs - down;
  return { ...state, lookupStats: state.lookupStats.set(name, { ...stats, quantileMs }) };
}
