/** What each timer of the operations side is for. */

import type { Occurrence, TimerName } from '../decisions/primitive';
import type { OperationsState } from './operationsState';
import { readRelease } from './readRelease';
import { recordAgain } from './recordAgain';
import { recordResults } from './recordResults';
import { retryLookup } from './retryLookup';
import { tick } from './tick';
import { trySettling } from './trySettling';
import { step, type OperationsStep } from './step';

type TimerHandler = (state: OperationsState, name: string, at: Occurrence) => OperationsStep;

const timers: Readonly<Record<string, TimerHandler>> = {
  tick: (state, _, at) => tick(state, at.atMs),
  settle: (state, key, at) => trySettling(state, key, at.atMs),
  record: (state, _, at) => recordResults(state, at.atMs),
  'record-again': recordAgain,
  release: readRelease,
  hedge: (state, call, at) => {
    const lookup = state.lookups.get(call);
    return (lookup && retryLookup(state, lookup, at)) ?? step(state);
  },
};

/** Hands the timer to its handler; the name is `kind` or `kind what`. */
export function fireTimer(
  state: OperationsState,
  timer: TimerName,
  at: Occurrence,
): OperationsStep {
  const [kind = ''] = timer.split(' ', 1);
  const handler = timers[kind];
  return handler === undefined ? step(state) : handler(state, timer.slice(kind.length + 1), at);
}
