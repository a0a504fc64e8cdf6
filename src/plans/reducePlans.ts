/**
 * Reducer of the plans component: operators' requests, table rows, and the steps of running plans.
 */

import { Map as ImmutableMap } from 'immutable';
import { createReducer } from '../decisions/createReducer';
import type { Decision } from '../decisions/decision';
import type { CallId, Occurrence } from '../decisions/primitive';
import { advanceExecution } from './advanceExecution';
import { handleOperatorRequest } from './handleOperatorRequest';
import { handleEngineRead, handleOrderAnswered, handleVmOrdered } from './handleEngineAnswer';
import { handleRowsRead } from './handleRowsRead';
import type { OpenCall } from './openCall';
import { SCAN_INTERVAL_MS } from './planLimits';
import type { PlanEffect, PlanEvent } from './planMessage';
import type { Plans } from './planState';
import { proposeRepairs } from './proposeRepairs';
import { handleRenewed } from './renewLease';
import { scanLeases } from './scanLeases';
import { handleWriteTransacted, retryResolution } from './sendWrite';
import { readClaimedPlan } from './startExecution';

type PlansDecision = Decision<Plans, PlanEffect>;

/** Handles one event of the plans component. */
export const reducePlans = createReducer<Plans, PlanEvent, PlanEffect>({
  'configuration-changed': (state, { configuration }) => {
    const isNewer = configuration.revision > state.configuration.revision;
    return { state: isNewer ? { ...state, configuration } : state, effects: [] };
  },
  'configuration-accepted': (state, event) => {
    const accepted = Math.max(state.accepted, event.revision);
    return advanceAllExecutions({ ...state, accepted }, event);
  },
  'operator-asked': handleOperatorRequest,
  'order-answered': (state, event) => {
    const { next, call } = closeCall(state, event.call);
    if (call?.type !== 'order') return { state: next, effects: [] };
    return handleOrderAnswered(next, call, event.result, event);
  },
  'engine-read': (state, event) => {
    const { next, call } = closeCall(state, event.call);
    if (call?.type !== 'read-engine') return { state: next, effects: [] };
    return handleEngineRead(next, call, event.result, event);
  },
  'servers-changed': (state, { servers, atMs }) => {
    const unusable = servers.filter(({ isUsable }) => !isUsable).map(({ server }) => server);
    const lost = ImmutableMap(
      unusable.map((server): [string, number] => [server, state.lost.get(server) ?? atMs]),
    );
    const proposed = state.proposed.filter((server) => lost.has(server));
    return { state: { ...state, lost, proposed }, effects: [] };
  },
  ticked: (state, event) => {
    const updated = { ...state, wallOffsetMs: event.wallMs - event.atMs };
    const repair = proposeRepairs(updated, event);
    if (event.atMs < state.scanAtMs) return repair;
    const scan = scanLeases({ ...repair.state, scanAtMs: event.atMs + chooseScanDelayMs(event) });
    return { state: scan.state, effects: [...repair.effects, ...scan.effects] };
  },
  'timer-fired': (state, event) => {
    const call = state.open.get(event.timer);
    if (call?.type === 'settle-later') {
      const { next } = closeCall(state, event.timer);
      return retryResolution(next, call.write, call.sentAtMs, event);
    }
    const plan = event.timer.slice(event.timer.indexOf('/') + 1);
    return advanceExecution(state, plan, event);
  },
  transacted: (state, event) => {
    const { next, call } = closeCall(state, event.call);
    if (call === undefined) return { state, effects: [] };
    const handle = transactionHandlers[call.type];
    return handle === undefined ? { state: next, effects: [] } : handle(next, call as never, event);
  },
  'rows-read': (state, event) => {
    const { next, call } = closeCall(state, event.call);
    if (call === undefined) return { state, effects: [] };
    return handleRowsRead(next, call, event.result, event);
  },
});

type Transacted = Extract<PlanEvent, { readonly type: 'transacted' }>;

/** Handlers of transaction results, by type of call. */
const transactionHandlers: {
  readonly [Type in OpenCall['type']]?: (
    state: Plans,
    call: Extract<OpenCall, { readonly type: Type }>,
    event: Transacted,
  ) => PlansDecision;
} = {
  write: (state, call, event) => handleWriteTransacted(state, call, event.result, event),
  renew: (state, call, event) => handleRenewed(state, call, event.result, event),
  'order-vm': (state, call, event) => handleVmOrdered(state, call, event),
  take: (state, { taken }, { result }) => {
    if (result.type !== 'committed') return { state, effects: [] };
    return readClaimedPlan(state, { ...taken, leaseVersion: result.versions[0] ?? 0 });
  },
};

function closeCall(
  state: Plans,
  id: CallId,
): { readonly next: Plans; readonly call: OpenCall | undefined } {
  const call = state.open.get(id);
  return { call, next: call === undefined ? state : { ...state, open: state.open.delete(id) } };
}

function advanceAllExecutions(state: Plans, at: Occurrence): PlansDecision {
  let next = state;
  const effects: PlanEffect[] = [];
  for (const plan of state.executions.keys()) {
    const step = advanceExecution(next, plan, at);
    next = step.state;
    effects.push(...step.effects);
  }
  return { state: next, effects };
}

/**
 * Chooses the time to the next scan, milliseconds; spread to keep VMs from reading at the same
 * moment.
 */
function chooseScanDelayMs({ seed }: Occurrence): number {
  return SCAN_INTERVAL_MS + (seed % SCAN_INTERVAL_MS);
}
