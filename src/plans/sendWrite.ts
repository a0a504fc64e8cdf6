/**
 * Sends a ledger write and goes on with its answer: a lost race for a head row is run again on the
 * new head, and a lost reply is settled by reading the plan's row for the write's own marker.
 */

import { applyRevision } from '../configuration/applyRevision';
import type { Configuration } from '../configuration/configuration';
import type { ReadResult, Row, TransactionResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { buildTransaction, commitsRevision, recordAfter } from './buildTransaction';
import { checkPreconditions } from './checkPreconditions';
import { finishWrite } from './finishWrite';
import { learnHeads } from './learnHeads';
import type { LedgerResult, LedgerWrite } from './ledgerWrite';
import { openCallAs } from './openCallAs';
import {
  ANSWER_DEADLINE_MS,
  MAX_CATCH_UP_REVISIONS,
  MAX_HEAD_RACES,
  SETTLE_RETRY_MS,
} from './planLimits';
import type { PlanEffect } from './planMessage';
import { CLAIMS_TABLE, decodePlanRecord, LEASES_TABLE, PLANS_TABLE } from './planRows';
import type { Plans } from './planState';
import { CONFIGURATION_TABLE, decodeRevision, revisionKey } from './revisionRows';

type Step = Decision<Plans, PlanEffect>;

/** Sends a write: catches up with the head first where it commits, and checks its preconditions. */
export function sendWrite(state: Plans, write: LedgerWrite, at: Occurrence): Step {
  if (write.commit !== undefined) {
    if (state.head.value.revision > state.configuration.revision) return catchUp(state, write);
    const { preconditions, changes } = write.commit;
    const failed = checkPreconditions(state.configuration, preconditions, changes);
    if (failed.length > 0) {
      return finishWrite(state, write, { type: 'preconditions-failed', failed }, at);
    }
  }
  const opened = openCallAs(state, { type: 'write', write, sentAtMs: at.atMs });
  const transaction = buildTransaction(write, state);
  return {
    state: opened.state,
    effects: [{ type: 'transact', call: opened.id, transaction }],
  };
}

/** Goes on when the table has answered the transaction. */
export function handleTransacted(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  result: TransactionResult,
  at: Occurrence,
): Step {
  if (result.type === 'committed') return committed(state, write, sentAtMs, result.versions, at);
  if (result.type === 'ambiguous') return settle(state, write, sentAtMs);
  if (result.type === 'conflict') return conflicted(state, write, result.rows, at);
  return finishWrite(state, write, { type: 'unavailable', detail: result.detail }, at);
}

function committed(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  versions: readonly number[],
  at: Occurrence,
): Step {
  const record = recordAfter(write, state.head.value);
  const revision = commitsRevision(write) ? record.revision : 0;
  const next = revision === 0 ? state : applyOwn(state, write, revision);
  const result: LedgerResult = {
    type: 'committed',
    record,
    planVersion: versions[0] ?? 0,
    leaseVersion: write.lease === undefined ? 0 : (versions[1] ?? 0),
    revision,
    sentAtMs,
  };
  const after = finishWrite(next, write, result, at);
  if (revision === 0) return after;
  return { ...after, effects: [{ type: 'head-committed', revision }, ...after.effects] };
}

/** Applies a revision just committed where it is the next one; else the fleet side brings it. */
function applyOwn(state: Plans, write: LedgerWrite, number: number): Plans {
  if (write.commit === undefined || number !== state.configuration.revision + 1) return state;
  const { operator, reason, changes } = write.commit;
  const revision = { number, changeId: write.id, operator, reason, changes };
  return { ...state, configuration: applyRevision(state.configuration, revision) };
}

/** Reads the plan's row: its marker tells whether the write took effect. */
function settle(state: Plans, write: LedgerWrite, sentAtMs: number): Step {
  const opened = openCallAs(state, { type: 'settle', write, sentAtMs });
  const keys = [write.record.plan.id];
  return {
    state: opened.state,
    effects: [
      { type: 'count', counter: 'plan_writes_ambiguous', by: 1 },
      { type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys },
    ],
  };
}

/** Looks a write of unknown result up again, unless the time for an answer is over. */
export function settleAgain(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  at: Occurrence,
): Step {
  if (write.purpose.type !== 'advance' && at.atMs - write.startedAtMs > ANSWER_DEADLINE_MS) {
    const detail = 'The table did not say whether the write took effect';
    return finishWrite(state, write, { type: 'unknown', detail }, at);
  }
  return settle(state, write, sentAtMs);
}

/** Goes on when the plan's row was read after a lost reply. */
export function handleSettled(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  result: ReadResult,
  at: Occurrence,
): Step {
  if (result.type === 'unavailable') {
    const opened = openCallAs(state, { type: 'settle-later', write, sentAtMs });
    const timer = { type: 'set-timer', timer: opened.id, afterMs: SETTLE_RETRY_MS } as const;
    return { state: opened.state, effects: [timer] };
  }
  const row = result.rows.find((item) => item.key === write.record.plan.id);
  if (row !== undefined && isMarked(row, write.id)) {
    return tookEffect(state, write, row, at);
  }
  return sendWrite(state, write, at);
}

/**
 * The write took effect although its reply was lost; the plan's row says under which revision. Which
 * of several sendings it was is not known, so the first one counts for the lease.
 */
function tookEffect(state: Plans, write: LedgerWrite, row: Row, at: Occurrence): Step {
  const record = decodePlanRecord(row.value);
  const revision = commitsRevision(write) ? record.revision : 0;
  const isLast = record.markers.at(-1) === write.id;
  const next = isLast && revision > 0 ? applyOwn(state, write, revision) : state;
  const result: LedgerResult = {
    type: 'committed',
    record,
    planVersion: row.version,
    leaseVersion: 0,
    revision,
    sentAtMs: write.startedAtMs,
  };
  const after = finishWrite(next, write, result, at);
  if (revision === 0) return after;
  return { ...after, effects: [{ type: 'head-committed', revision }, ...after.effects] };
}

function conflicted(state: Plans, write: LedgerWrite, rows: readonly Row[], at: Occurrence): Step {
  const planRow = rows.find((row) => row.table === PLANS_TABLE);
  if (planRow !== undefined && isMarked(planRow, write.id)) {
    return tookEffect(state, write, planRow, at);
  }
  const learned = learnHeads(state, rows);
  const raced = learned.head !== state.head || learned.auditHead !== state.auditHead;
  const foreign = rows.filter((row) => row.table === CLAIMS_TABLE || row.table === LEASES_TABLE);
  if (planRow === undefined && foreign.length === 0 && raced && write.races < MAX_HEAD_RACES) {
    return sendWrite(learned, { ...write, races: write.races + 1 }, at);
  }
  return finishWrite(learned, write, explainConflict(rows, planRow), at);
}

/** Whether a plan's row shows that this write took effect. */
function isMarked(row: Row, id: string): boolean {
  return row.version > 0 && decodePlanRecord(row.value).markers.includes(id);
}

function explainConflict(rows: readonly Row[], planRow: Row | undefined): LedgerResult {
  if (planRow !== undefined) return { type: 'plan-changed', row: planRow };
  if (rows.some((row) => row.table === LEASES_TABLE)) return { type: 'lease-lost' };
  const claims = rows.filter((row) => row.table === CLAIMS_TABLE);
  if (claims.length > 0) return { type: 'claimed', rows: claims };
  return rows.length > 0
    ? { type: 'unavailable', detail: 'Too many changes at once; nothing was written' }
    : { type: 'lease-lost' };
}

function catchUp(state: Plans, write: LedgerWrite): Step {
  const opened = openCallAs(state, { type: 'catch-up', write });
  const from = revisionKey(state.configuration.revision + 1);
  const to = revisionKey(state.head.value.revision + 1);
  const range = { table: CONFIGURATION_TABLE, from, to, limit: MAX_CATCH_UP_REVISIONS };
  return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
}

/** Goes on when the missing revisions were read. */
export function handleCaughtUp(
  state: Plans,
  write: LedgerWrite,
  result: ReadResult,
  at: Occurrence,
): Step {
  if (result.type === 'unavailable' || result.rows.length === 0) {
    const detail = result.type === 'unavailable' ? result.detail : 'Revisions are missing';
    return finishWrite(state, write, { type: 'unavailable', detail }, at);
  }
  const revisions = result.rows.map((row) => decodeRevision(row.value));
  const configuration = revisions
    .filter((revision) => revision.number > state.configuration.revision)
    .reduce<Configuration>(applyRevision, state.configuration);
  return sendWrite({ ...state, configuration }, write, at);
}
