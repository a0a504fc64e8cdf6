/**
 * Claims a lease that has no holder, or whose holder has stopped renewing it, and acknowledges an
 * order to this VM to leave.
 */

import { Map as ImmutableMap } from 'immutable';
import type { ReadResult, Row } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createMarker } from './createMarker';
import { registerCall } from './registerCall';
import type { PlanId } from './plan';
import { TAKEOVER_WAIT_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import {
  FENCING_KEY,
  LEASES_TABLE,
  VM_KEY_PREFIX,
  type FencingCounter,
  type Lease,
  type VmOrder,
} from './planRows';
import type { ObservedLease, Plans } from './planState';

type PlansDecision = Decision<Plans, PlanEffect>;

/**
 * Handles the leases that a scan read. Claims at most one of them, because each claim increments
 * the counter of fencing numbers. A lease without a holder is claimed at once. Any other is claimed
 * after its row has not changed on the local monotonic clock for the whole time that its holder,
 * its orders and skewed clocks may need.
 */
export function handleLeasesRead(state: Plans, result: ReadResult, at: Occurrence): PlansDecision {
  if (result.type === 'unavailable') return { state, effects: [] };
  const leases = result.rows.filter((row) => isPlanKey(row.key));
  const known = state.observed;
  const observed = ImmutableMap(
    leases.map((row): [PlanId, ObservedLease] => [
      row.key,
      observeLease(known.get(row.key), row, at),
    ]),
  );
  const seen = { ...state, observed };
  const acknowledged = acknowledgeLeaveOrder(seen, result.rows);
  const claimable = leases.find((row) => isClaimable(seen, row, at));
  if (claimable === undefined) return acknowledged;
  const claimed = claimLease(acknowledged.state, claimable, result.rows, at);
  return { state: claimed.state, effects: [...acknowledged.effects, ...claimed.effects] };
}

function isPlanKey(key: string): boolean {
  return key !== FENCING_KEY && !key.startsWith(VM_KEY_PREFIX);
}

function observeLease(before: ObservedLease | undefined, row: Row, at: Occurrence): ObservedLease {
  if (before?.version === row.version) return before;
  return { version: row.version, sinceMs: at.atMs };
}

function isClaimable(state: Plans, row: Row, at: Occurrence): boolean {
  if (state.executions.has(row.key)) return false;
  if ((JSON.parse(row.value) as Lease).holder === '') return true;
  const observed = state.observed.get(row.key);
  return observed !== undefined && at.atMs - observed.sinceMs >= TAKEOVER_WAIT_MS;
}

function claimLease(state: Plans, row: Row, rows: readonly Row[], at: Occurrence): PlansDecision {
  const counter = rows.find(({ key }) => key === FENCING_KEY);
  const last = counter === undefined ? 0 : (JSON.parse(counter.value) as FencingCounter).last;
  const fencing = last + 1;
  const isTakeover = (JSON.parse(row.value) as Lease).holder !== '';
  const plan = row.key;
  const taken = { plan, sentAtMs: at.atMs, fencing, leaseVersion: 0, isTakeover };
  const lease: Lease = { holder: state.options.holder, fencing, marker: createMarker(state, at) };
  const opened = registerCall(state, { type: 'take', taken });
  const table = LEASES_TABLE;
  const transaction = {
    conditions: [
      { table, key: plan, version: row.version },
      { table, key: FENCING_KEY, version: counter?.version ?? 0 },
    ],
    writes: [
      { table, key: plan, value: JSON.stringify(lease) },
      { table, key: FENCING_KEY, value: JSON.stringify({ last: fencing }) },
    ],
  };
  return { state: opened.state, effects: [{ type: 'transact', call: opened.id, transaction }] };
}

function isPendingLeaveOrder(value: string): boolean {
  return (JSON.parse(value) as VmOrder).state === 'told';
}

/** If this VM is ordered to leave, starts to drain it and acknowledges the order in its row. */
function acknowledgeLeaveOrder(state: Plans, rows: readonly Row[]): PlansDecision {
  const prefix = `${VM_KEY_PREFIX}${state.options.vm}/`;
  const row = rows.find(({ key, value }) => key.startsWith(prefix) && isPendingLeaveOrder(value));
  if (row === undefined) return { state, effects: [] };
  const order = JSON.parse(row.value) as VmOrder;
  const { key } = row;
  const opened = registerCall(state, { type: 'leave', key });
  const value = JSON.stringify({ ...order, state: 'leaving' });
  const transaction = {
    conditions: [{ table: LEASES_TABLE, key, version: row.version }],
    writes: [{ table: LEASES_TABLE, key, value }],
  };
  return {
    state: opened.state,
    effects: [{ type: 'drain-self' }, { type: 'transact', call: opened.id, transaction }],
  };
}
