/** Retries an idempotent call on another backend server if the retry budget allows it. */

import { chooseServer } from '../backendServers/chooseServer';
import type { Occurrence } from '../decisions/primitive';
import { createRandom } from '../random/createRandom';
import { findMethod } from './findMethod';
import { listCandidates } from './listCandidates';
import { MAX_LOOKUP_TRIES } from './operationLimits';
import type { Lookup, OperationsState } from './operationsState';
import { sendLookup } from './sendLookup';
import type { OperationsStep } from './step';

/**
 * Sends one more try and deducts it from the budget of the service. The budget is a token bucket, which
 * limits retries and hedges to a fixed share of the load.
 *
 * @returns undefined if no tries, time, budget or servers are left
 */
export function retryLookup(
  state: OperationsState,
  lookup: Lookup,
  at: Occurrence,
): OperationsStep | undefined {
  const { call, contract, tried } = lookup;
  const name = `${call.workspace}/${call.service}`;
  const stats = state.lookupStats.get(name);
  const isLate = at.atMs - lookup.startedAtMs >= contract.timeoutMs;
  if (stats === undefined || stats.budget < 1 || tried.length >= MAX_LOOKUP_TRIES || isLate) {
    return undefined;
  }
  const found = findMethod(state.configuration, call);
  if (found.type === 'missing') return undefined;
  const candidates = listCandidates(state, found.service, tried);
  const server = chooseServer(candidates, createRandom(at.seed));
  if (server === undefined) return undefined;
  const lookupStats = state.lookupStats.set(name, { ...stats, budget: stats.budget - 1 });
  return sendLookup({ ...state, lookupStats }, lookup, server, at.atMs);
}
