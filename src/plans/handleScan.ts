/** Takes a lease that is free, or that its holder has let lapse. */

import { Map as ImmutableMap } from 'immutable';
import type { ReadResult, Row } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { nextMarker } from './nextMarker';
import { openCallAs } from './openCallAs';
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

type Step = Decision<Plans, PlanEffect>;

/**
 * Goes on when the leases were read: takes at most one of them, because each take moves the counter
 * of fencing numbers. A lease may be taken at once where nobody has held it; else after its row has
 * not changed for the whole time that its holder, its orders and skewed clocks may need, on the own
 * monotonic clock.
 */
export function handleScan(state: Plans, result: ReadResult, at: Occurrence): Step {
  if (result.type === 'unavailable') return { state, effects: [] };
  const leases = result.rows.filter((row) => isPlanKey(row.key));
  const known = state.observed;
  const observed = ImmutableMap(
    leases.map((row): [PlanId, ObservedLease] => [row.key, observe(known.get(row.key), row, at)]),
  );
  const seen = { ...state, observed };
  const left = leave(seen, result.rows);
  const free = leases.find((row) => mayTake(seen, row, at));
  if (free === undefined) return left;
  const taken = take(left.state, free, result.rows, at);
  return { state: taken.state, effects: [...left.effects, ...taken.effects] };
}

function isPlanKey(key: string): boolean {
  return key !== FENCING_KEY && !key.startsWith(VM_KEY_PREFIX);
}

function observe(before: ObservedLease | undefined, row: Row, at: Occurrence): ObservedLease {
  if (before?.version === row.version) return before;
  return { version: row.version, sinceMs: at.atMs };
}

function mayTake(state: Plans, row: Row, at: Occurrence): boolean {
  if (state.executions.has(row.key)) return false;
  if ((JSON.parse(row.value) as Lease).holder === '') return true;
  const observed = state.observed.get(row.key);
  return observed !== undefined && at.atMs - observed.sinceMs >= TAKEOVER_WAIT_MS;
}

function take(state: Plans, row: Row, rows: readonly Row[], at: Occurrence): Step {
  const counter = rows.find(({ key }) => key === FENCING_KEY);
  const last = counter === undefined ? 0 : (JSON.parse(counter.value) as FencingCounter).last;
  const fencing = last + 1;
  const isTakeover = (JSON.parse(row.value) as Lease).holder !== '';
  const plan = row.key;
  const taken = { plan, sentAtMs: at.atMs, fencing, leaseVersion: 0, isTakeover };
  const lease: Lease = { holder: state.options.holder, fencing, marker: nextMarker(state, at) };
  const opened = openCallAs(state, { type: 'take', taken });
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

function isTold(value: string): boolean {
  return (JSON.parse(value) as VmOrder).state === 'told';
}

/** Where this VM is told to leave, drains it and says so in the row. */
function leave(state: Plans, rows: readonly Row[]): Step {
  const prefix = `${VM_KEY_PREFIX}${state.options.vm}/`;
  const row = rows.find(({ key, value }) => key.startsWith(prefix) && isTold(value));
  if (row === undefined) return { state, effects: [] };
  const order = JSON.parse(row.value) as VmOrder;
  const { key } = row;
  const opened = openCallAs(state, { type: 'leave', key });
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
