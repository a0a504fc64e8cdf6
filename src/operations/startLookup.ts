/** Starts an idempotent call, which may be tried on several backend servers. */

import { chooseServer } from '../backendServers/chooseServer';
import type { MethodContract } from '../contracts/methodContract';
import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import { createRandom } from '../random/createRandom';
import type { PlainService } from '../services/service';
import { chain } from './chain';
import { countRunning } from './countRunning';
import { listCandidates } from './listCandidates';
import type { PlainCall } from './operationMessage';
import { MIN_HEDGE_MS, RETRY_AFTER_MS, RETRY_BURST, RETRY_RATIO } from './operationLimits';
import type { LookupStats, OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { sendLookup } from './sendLookup';
import { step, type OperationsStep } from './step';
import { getRefusalReason } from './getRefusalReason';

/** Sends the first try and sets the hedge timer. */
export function startLookup(
  state: OperationsState,
  call: PlainCall,
  found: { readonly service: PlainService; readonly contract: MethodContract },
  at: Occurrence,
): OperationsStep {
  const { service, contract } = found;
  const server = chooseServer(listCandidates(state, service), createRandom(at.seed));
  const refusal = findRefusal(state, call, contract);
  if (refusal !== undefined || server === undefined) {
    return refuseCall(state, call.call, refusal ?? noServer);
  }
  const name = `${call.workspace}/${call.service}`;
  const stats = state.lookupStats.get(name) ?? createLookupStats(contract);
  const budget = Math.min(RETRY_BURST, stats.budget + RETRY_RATIO);
  const lookup = {
    call,
    contract,
    startedAtMs: at.atMs,
    tried: [],
    pending: 0,
    worst: 'not-run',
    detail: '',
  } as const;
  const next = {
    ...state,
    lookupStats: state.lookupStats.set(name, { ...stats, budget }),
    lookups: state.lookups.set(call.call, lookup),
  };
  const afterMs = Math.max(MIN_HEDGE_MS, stats.quantileMs);
  return chain(
    next,
    (after) => sendLookup(after, lookup, server, at.atMs),
    (after) => step(after, { type: 'set-timer', timer: `hedge ${call.call}`, afterMs }),
  );
}

const noServer: Refusal = {
  outcome: 'not-run',
  reason: 'no-usable-server',
  detail: 'No backend server of the service may get new work',
  retryAfterMs: RETRY_AFTER_MS,
};

function createLookupStats(contract: MethodContract): LookupStats {
  return { budget: RETRY_BURST, quantileMs: contract.timeoutMs / 2 };
}

function findRefusal(
  state: OperationsState,
  call: PlainCall,
  contract: MethodContract,
): Refusal | undefined {
  const reason = getRefusalReason(state);
  if (reason !== undefined) {
    const detail = 'This VM takes no new work';
    return { outcome: 'not-run', reason, detail, retryAfterMs: RETRY_AFTER_MS };
  }
  if (Buffer.byteLength(call.body) > contract.maxBodyBytes) {
    const detail = `The body is larger than ${contract.maxBodyBytes} bytes`;
    return { outcome: 'failed', reason: 'body-too-large', detail };
  }
  if (countRunning(state) < state.options.maxRunning) return undefined;
  const detail = `This VM runs ${state.options.maxRunning} calls already`;
  return { outcome: 'not-run', reason: 'overloaded', detail, retryAfterMs: RETRY_AFTER_MS };
}
