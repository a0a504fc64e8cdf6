/** Another try of an idempotent call on another backend server, where the budget allows it. */

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
 * Sends one more try and takes it from the budget of the service (a token bucket, so that retries
 * and hedges never add more than a fixed share to the load).
 *
 * @returns undefined where tries, time, budget or servers have run out
 */
export function retryLookup(
  state: OperationsState,
  lookup: Lookup,
  at: Occurrence,
): OperationsStep | undefined {
  const { call, contract, tried } = lookup;
  const name = `${call.workspace}/${call.service}`;
  const pace = state.paces.get(name);
  const isLate = at.atMs - lookup.startedAtMs >= contract.timeoutMs;
  if (pace === undefined || pace.budget < 1 || tried.length >= MAX_LOOKUP_TRIES || isLate) {
    return undefined;
  }
  const found = findMethod(state.configuration, call);
  if (found.type === 'missing') return undefined;
  const candidates = listCandidates(state, found.service, tried);
  const server = chooseServer(candidates, createRandom(at.seed));
  if (server === undefined) return undefined;
  const paces = state.paces.set(name, { ...pace, budget: pace.budget - 1 });
  return sendLookup({ ...state, paces }, lookup, server, at.atMs);
}
