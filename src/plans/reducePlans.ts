/** Every decision of the plans side: operators' asks, the rows, and the steps of running plans. */

import { Map as ImmutableMap } from 'immutable';
import { createReducer } from '../decisions/createReducer';
import type { Decision } from '../decisions/decision';
import type { CallId, Occurrence } from '../decisions/primitive';
import { driveExecution } from './driveExecution';
import { handleAsk } from './handleAsk';
import { handleEngineRead, handleOrderAnswered, handleVmOrdered } from './handleEngineAnswer';
import { handleRowsRead } from './handleRowsRead';
import type { OpenCall } from './openCall';
import { SCAN_INTERVAL_MS } from './planLimits';
import type { PlanEffect, PlanEvent } from './planMessage';
import type { Plans } from './planState';
import { proposeRepairs } from './proposeRepairs';
import { handleRenewed } from './renewLease';
import { scanLeases } from './scanLeases';
import { handleTransacted, settleAgain } from './sendWrite';
import { findTaken } from './startExecution';

type Step = Decision<Plans, PlanEffect>;

/** Decides on one event of the plans side. */
export const reducePlans = createReducer<Plans, PlanEvent, PlanEffect>({
  'configuration-changed': (state, { configuration }) => {
    const isNewer = configuration.revision > state.configuration.revision;
    return { state: isNewer ? { ...state, configuration } : state, effects: [] };
  },
  'configuration-accepted': (state, event) => {
    const accepted = Math.max(state.accepted, event.revision);
    return driveAll({ ...state, accepted }, event);
  },
  'operator-asked': handleAsk,
  'order-answered': (state, event) => {
    const { next, call } = close(state, event.call);
    if (call?.type !== 'order') return { state: next, effects: [] };
    return handleOrderAnswered(next, call, event.result, event);
  },
  'engine-read': (state, event) => {
    const { next, call } = close(state, event.call);
    if (call?.type !== 'read-engine') return { state: next, effects: [] };
    return handleEngineRead(next, call, event.result, event);
  },
  'servers-changed': (state, { servers, atMs }) => {
    const gone = servers.filter(({ isUsable }) => !isUsable).map(({ server }) => server);
    const lost = ImmutableMap(
      gone.map((server): [string, number] => [server, state.lost.get(server) ?? atMs]),
    );
    const proposed = state.proposed.filter((server) => lost.has(server));
    return { state: { ...state, lost, proposed }, effects: [] };
  },
  ticked: (state, event) => {
    const heard = { ...state, wallOffsetMs: event.wallMs - event.atMs };
    const repair = proposeRepairs(heard, event);
    if (event.atMs < state.scanAtMs) return repair;
    const scan = scanLeases({ ...repair.state, scanAtMs: event.atMs + scanPause(event) });
    return { state: scan.state, effects: [...repair.effects, ...scan.effects] };
  },
  'timer-fired': (state, event) => {
    const call = state.open.get(event.timer);
    if (call?.type === 'settle-later') {
      const { next } = close(state, event.timer);
      return settleAgain(next, call.write, call.sentAtMs, event);
    }
    const plan = event.timer.slice(event.timer.indexOf('/') + 1);
    return driveExecution(state, plan, event);
  },
  transacted: (state, event) => {
    const { next, call } = close(state, event.call);
    if (call === undefined) return { state, effects: [] };
    const handle = onTransacted[call.type];
    return handle === undefined ? { state: next, effects: [] } : handle(next, call as never, event);
  },
  'rows-read': (state, event) => {
    const { next, call } = close(state, event.call);
    if (call === undefined) return { state, effects: [] };
    return handleRowsRead(next, call, event.result, event);
  },
});

type Transacted = Extract<PlanEvent, { readonly type: 'transacted' }>;

/** Who goes on with a transaction, by what it was opened for. */
const onTransacted: {
  readonly [Type in OpenCall['type']]?: (
    state: Plans,
    call: Extract<OpenCall, { readonly type: Type }>,
    event: Transacted,
  ) => Step;
} = {
  write: (state, call, event) => handleTransacted(state, call, event.result, event),
  renew: (state, call, event) => handleRenewed(state, call, event.result, event),
  'order-vm': (state, call, event) => handleVmOrdered(state, call, event),
  take: (state, { taken }, { result }) => {
    if (result.type !== 'committed') return { state, effects: [] };
    return findTaken(state, { ...taken, leaseVersion: result.versions[0] ?? 0 });
  },
};

function close(
  state: Plans,
  id: CallId,
): { readonly next: Plans; readonly call: OpenCall | undefined } {
  const call = state.open.get(id);
  return { call, next: call === undefined ? state : { ...state, open: state.open.delete(id) } };
}

function driveAll(state: Plans, at: Occurrence): Step {
  let next = state;
  const effects: PlanEffect[] = [];
  for (const plan of state.executions.keys()) {
    const step = driveExecution(next, plan, at);
    next = step.state;
    effects.push(...step.effects);
  }
  return { state: next, effects };
}

/** Time to the next scan; spread so that VMs do not read at the same moment, milliseconds. */
function scanPause({ seed }: Occurrence): number {
  return SCAN_INTERVAL_MS + (seed % SCAN_INTERVAL_MS);
}
