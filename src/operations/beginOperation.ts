/** Dispatches an operation: the one place from which a call that must not repeat leaves a VM. */

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
import { holdTicket } from './holdTicket';
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
import { whyClosed } from './whyClosed';

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
 * Sends the operation to one backend server, or refuses it as not-run before anything has left.
 *
 * @param operation the caller of this function has made sure that it never ran
 */
export function beginOperation(
  state: OperationsState,
  operation: NewOperation,
  at: Occurrence,
): OperationsStep {
  const { key, origin, call, contract, waiters } = operation;
  if (state.running.has(key) || state.remembered.has(key)) return refuseSecondRun(state, operation);
  const candidates = listCandidates(state, operation.service);
  const server = chooseServer(candidates, createRandom(at.seed));
  const refusal = findObstacle(state, call, contract, server === undefined);
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
    settleTries: 0,
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

/** The invariant of this side: what is in memory is never dispatched again. */
function refuseSecondRun(state: OperationsState, operation: NewOperation): OperationsStep {
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
  const held = origin.type === 'ticket' ? holdTicket(state, origin.serial) : state;
  return { ...held, running: held.running.set(running.key, running) };
}

function findObstacle(
  state: OperationsState,
  call: PlainCall,
  contract: MethodContract,
  lacksServer: boolean,
): Refusal | undefined {
  const reason = whyClosed(state);
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
