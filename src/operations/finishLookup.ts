/** What the end of one try means for an idempotent call. */

import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import { chain } from './chain';
import type { BackendEnd } from './backendEnd';
import type { PlainAnswer } from './operationMessage';
import { HEDGE_QUANTILE, RETRY_AFTER_MS } from './operationLimits';
import type { Dispatch, Lookup, OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { retryLookup } from './retryLookup';
import { step, type OperationsStep } from './step';

type LookupDispatch = Extract<Dispatch, { readonly type: 'lookup' }>;

/** Step of the quantile estimate, as a share of the estimate. */
const QUANTILE_STEP = 0.05;

/** Answers the caller, tries another server, waits for the other try, or gives up. */
export function finishLookup(
  state: OperationsState,
  dispatch: LookupDispatch,
  end: BackendEnd,
  at: Occurrence,
): OperationsStep {
  const lookup = state.lookups.get(dispatch.call);
  if (lookup === undefined) return step(state);
  if (end.type === 'answered') {
    const next = learnPace(state, lookup, at.atMs - dispatch.startedAtMs);
    return answerLookup(next, lookup, end.answer);
  }
  const failed = {
    ...lookup,
    pending: lookup.pending - 1,
    worst: worse(lookup.worst, end.type === 'error' ? 'failed' : end.type),
    detail: end.detail,
  };
  const next = { ...state, lookups: state.lookups.set(dispatch.call, failed) };
  const retried = retryLookup(next, failed, at);
  if (retried !== undefined) return retried;
  return failed.pending > 0 ? step(next) : giveUp(next, failed);
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

function giveUp(state: OperationsState, lookup: Lookup): OperationsStep {
  const { call } = lookup.call;
  return chain(
    { ...state, lookups: state.lookups.delete(call) },
    (next) => step(next, { type: 'clear-timer', timer: `hedge ${call}` }),
    (next) => refuseCall(next, call, describe(lookup)),
  );
}

function describe(lookup: Lookup): Refusal {
  const { worst, detail } = lookup;
  const reason = `lookup-${worst}`;
  if (worst !== 'not-run') return { outcome: worst, reason, detail };
  return { outcome: worst, reason, detail, retryAfterMs: RETRY_AFTER_MS };
}

const ranks = { 'not-run': 0, failed: 1, unknown: 2 } as const;

function worse(left: Lookup['worst'], right: Lookup['worst']): Lookup['worst'] {
  return ranks[left] >= ranks[right] ? left : right;
}

/** Moves the estimate up or down so that it settles at the quantile (stochastic approximation). */
function learnPace(state: OperationsState, lookup: Lookup, tookMs: number): OperationsState {
  const name = `${lookup.call.workspace}/${lookup.call.service}`;
  const pace = state.paces.get(name);
  if (pace === undefined) return state;
  const stepMs = QUANTILE_STEP * Math.max(1, pace.quantileMs);
  const up = stepMs * HEDGE_QUANTILE;
  const down = stepMs * (1 - HEDGE_QUANTILE);
  const quantileMs = tookMs > pace.quantileMs ? pace.quantileMs + up : pace.quantileMs - down;
  return { ...state, paces: state.paces.set(name, { ...pace, quantileMs }) };
}
