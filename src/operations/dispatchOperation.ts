/** Dispatches an operation. Only this function sends the first try of a call that is not idempotent. */

import { chooseServer } from '../backendServers/chooseServer';
import type { MethodContract } from '../contracts/methodContract';
import type { Occurrence } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import { createRandom } from '../random/createRandom';
import type { PlainService } from '../services/service';
import { callBackend } from './callBackend';
import { chain } from './chain';
import { countRunning } from './countRunning';
import { fingerprintCall } from './fingerprintCall';
import { addTicketOperation } from './addTicketOperation';
import { listCandidates } from './listCandidates';
import type { PlainCall } from './operationMessage';
import { RETRY_AFTER_MS } from './operationLimits';
import type {
  OperationKey,
  OperationOrigin,
  OperationsState,
  RunningOperation,
} from './operationsState';
import { refuseCall } from './refuseCall';
import { refuseOperation } from './refuseOperation';
import { step, type OperationsStep } from './step';
import { getRefusalReason } from './getRefusalReason';

/** An operation that has never been dispatched. */
export interface NewOperation {
  readonly key: OperationKey;
  readonly origin: OperationOrigin;
  readonly call: PlainCall;
  readonly service: PlainService;
  readonly contract: MethodContract;
  readonly waiters: readonly string[];
}

/**
 * Sends the operation to one backend server, or refuses it as not-run before anything is sent.
 *
 * @param operation must never have been dispatched, which callers of this function ensure
 */
export function dispatchOperation(
  state: OperationsState,
  operation: NewOperation,
  at: Occurrence,
): OperationsStep {
  const { key, origin, call, contract, waiters } = operation;
  if (state.running.has(key) || state.retained.has(key)) return refuseDuplicate(state, operation);
  const candidates = listCandidates(state, operation.service);
  const server = chooseServer(candidates, createRandom(at.seed));
  const refusal = findRefusal(state, call, contract, server === undefined);
  if (refusal !== undefined || server === undefined) {
    return refuseOperation(state, operation, refusal ?? noServer, at);
  }
  const running: RunningOperation = {
    key,
    origin,
    fingerprint: fingerprintCall(call),
    call,
    contract,
    server,
    waiters,
    resolveTries: 0,
  };
  return chain(
    state,
    (next) => step(addRunning(next, running)),
    (next) =>
      callBackend(
        next,
        { type: 'operation', key, server },
        {
          method: call.method,
          path: call.path,
          body: call.body,
          contentType: call.contentType,
          key: call.operation ?? key,
          timeoutMs: contract.timeoutMs,
        },
      ),
  );
}

/** Upholds the invariant that an operation in memory is never dispatched again. */
function refuseDuplicate(state: OperationsState, operation: NewOperation): OperationsStep {
  const detail = 'The operation would have been dispatched twice; this is a defect of the router';
  const refusal = { outcome: 'unknown', reason: 'invariant-violated', detail } as const;
  const counted = { type: 'count', counter: 'invariant_violations', by: 1 } as const;
  return chain(
    state,
    (next) => step(next, counted),
    ...operation.waiters.map(
      (waiter) => (next: OperationsState) => refuseCall(next, waiter, refusal),
    ),
  );
}

const noServer: Refusal = {
  outcome: 'not-run',
  reason: 'no-usable-server',
  detail: 'No backend server of the service may get new work',
  retryAfterMs: RETRY_AFTER_MS,
};

function addRunning(state: OperationsState, running: RunningOperation): OperationsState {
  const { origin } = running;
  const counted = origin.type === 'ticket' ? addTicketOperation(state, origin.serial) : state;
  return { ...counted, running: counted.running.set(running.key, running) };
}

function findRefusal(
  state: OperationsState,
  call: PlainCall,
  contract: MethodContract,
  lacksServer: boolean,
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
  if (countRunning(state) >= state.options.maxRunning) {
    const detail = `This VM runs ${state.options.maxRunning} calls already`;
    return { outcome: 'not-run', reason: 'overloaded', detail, retryAfterMs: RETRY_AFTER_MS };
  }
  return lacksServer ? noServer : undefined;
}
