/** Runs the handlers of the timers of the operations component. */

import type { Occurrence, TimerName } from '../decisions/primitive';
import type { OperationsState } from './operationsState';
import { readReleaseRow } from './readReleaseRow';
import { retryBatch } from './retryBatch';
import { recordResults } from './recordResults';
import { retryLookup } from './retryLookup';
import { tick } from './tick';
import { resolveDispatch } from './resolveDispatch';
import { step, type OperationsStep } from './step';

type TimerHandler = (state: OperationsState, name: string, at: Occurrence) => OperationsStep;

const timers: Readonly<Record<string, TimerHandler>> = {
  tick: (state, _, at) => tick(state, at.atMs),
  settle: (state, key, at) => resolveDispatch(state, key, at.atMs),
  record: (state, _, at) => recordResults(state, at.atMs),
  'record-again': retryBatch,
  release: readReleaseRow,
  hedge: (state, call, at) => {
    const lookup = state.lookups.get(call);
    return (lookup && retryLookup(state, lookup, at)) ?? step(state);
  },
};

/** Runs the handler of the timer; its name is `kind` or `kind key`. */
export function fireTimer(
  state: OperationsState,
  timer: TimerName,
  at: Occurrence,
): OperationsStep {
  const [kind = ''] = timer.split(' ', 1);
  const handler = timers[kind];
  return handler === undefined ? step(state) : handler(state, timer.slice(kind.length + 1), at);
}
