/**
 * Sends a ledger write and goes on with its answer: a lost race for a head row is run again on the
 * new head, and a lost reply is settled by reading the plan's row for the write's own marker.
 */

import { applyRevision } from '../configuration/applyRevision';
import type { Configuration } from '../configuration/configuration';
import type { ReadResult, Row, RowVersion, RowWrite, TransactionResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { buildTransaction, commitsRevision } from './buildTransaction';
import { checkPreconditions } from './checkPreconditions';
import { finishWrite } from './finishWrite';
import { learnHeads } from './learnHeads';
import type { LedgerResult, LedgerWrite } from './ledgerWrite';
import type { OpenCall } from './openCall';
import { openCallAs } from './openCallAs';
import {
  ANSWER_DEADLINE_MS,
  MAX_CATCH_UP_REVISIONS,
  MAX_HEAD_RACES,
  SETTLE_RETRY_MS,
} from './planLimits';
import type { PlanEffect } from './planMessage';
import {
  AUDIT_HEAD_KEY,
  AUDIT_TABLE,
  CLAIMS_TABLE,
  decodePlanRecord,
  LEASES_TABLE,
  PLANS_TABLE,
} from './planRows';
import type { Plans } from './planState';
import { readRevision } from './readRevision';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import { formatRevisionKey } from '../configuration/formatRevisionKey';

type Step = Decision<Plans, PlanEffect>;
type WriteCall = Extract<OpenCall, { readonly type: 'write' }>;

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
  const transaction = buildTransaction(write, state);
  const rows = transaction.writes;
  const opened = openCallAs(state, { type: 'write', write, sentAtMs: at.atMs, rows });
  return {
    state: opened.state,
    effects: [{ type: 'transact', call: opened.id, transaction }],
  };
}

/** Goes on when the table has answered the transaction. */
export function handleTransacted(
  state: Plans,
  { write, sentAtMs, rows }: WriteCall,
  result: TransactionResult,
  at: Occurrence,
): Step {
  if (result.type === 'committed') {
    const written = rows.map((row, index) => writtenRow(row, result.versions[index] ?? 0));
    return committed(state, write, sentAtMs, written, at);
  }
  if (result.type === 'ambiguous') {
    const doubtful = { ...write, isDoubtful: true };
    return write.isDoubtful
      ? settleLater(state, doubtful, sentAtMs)
      : settle(state, doubtful, sentAtMs);
  }
  if (result.type === 'conflict') return conflicted(state, write, result.rows, at);
  if (write.isDoubtful) return settleLater(state, write, sentAtMs);
  return finishWrite(state, write, { type: 'unavailable', detail: result.detail }, at);
}

function writtenRow({ table, key, value }: RowWrite, version: RowVersion): Row {
  return { table, key, value: value ?? '', version };
}

function committed(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  rows: readonly Row[],
  at: Occurrence,
): Step {
  const record = decodePlanRecord(rows[0]?.value ?? '');
  const revision = commitsRevision(write) ? record.revision : 0;
  const learned = learnHeads(state, rows);
  const next = revision === 0 ? learned : applyOwn(learned, write, revision);
  const result: LedgerResult = {
    type: 'committed',
    record,
    planVersion: rows[0]?.version ?? 0,
    leaseVersion: write.lease === undefined ? 0 : (rows[1]?.version ?? 0),
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

function settleLater(state: Plans, write: LedgerWrite, sentAtMs: number): Step {
  const opened = openCallAs(state, { type: 'settle-later', write, sentAtMs });
  const timer = { type: 'set-timer', timer: opened.id, afterMs: SETTLE_RETRY_MS } as const;
  return { state: opened.state, effects: [timer] };
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
  if (result.type === 'unavailable') return settleLater(state, write, sentAtMs);
  const row = result.rows.find((item) => item.key === write.record.plan.id);
  if (row !== undefined && isMarked(row, write.id)) {
    return tookEffect(state, write, row, at);
  }
  return refreshHead(state, write);
}

/** Reads the heads anew: where replies get lost, a conflict may never show them. */
function refreshHead(state: Plans, write: LedgerWrite): Step {
  const opened = openCallAs(state, { type: 'refresh-head', write });
  const read = { type: 'read-rows', call: opened.id, table: CONFIGURATION_TABLE } as const;
  return { state: opened.state, effects: [{ ...read, keys: [HEAD_KEY] }] };
}

/** Goes on when the configuration's head was read: reads that of the audit trail. */
export function handleHeadRefreshed(state: Plans, write: LedgerWrite, result: ReadResult): Step {
  const learned = result.type === 'rows' ? learnHeads(state, result.rows) : state;
  const opened = openCallAs(learned, { type: 'refresh-audit', write });
  const read = { type: 'read-rows', call: opened.id, table: AUDIT_TABLE } as const;
  return { state: opened.state, effects: [{ ...read, keys: [AUDIT_HEAD_KEY] }] };
}

/** Goes on when both heads were read: sends the write again. */
export function handleAuditRefreshed(
  state: Plans,
  write: LedgerWrite,
  result: ReadResult,
  at: Occurrence,
): Step {
  const learned = result.type === 'rows' ? learnHeads(state, result.rows) : state;
  return sendWrite(learned, write, at);
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
  return finishWrite(learned, write, explainConflict(write, rows, planRow), at);
}

/** Whether a plan's row shows that this write took effect. */
function isMarked(row: Row, id: string): boolean {
  return row.version > 0 && decodePlanRecord(row.value).markers.includes(id);
}

/** A write of unknown result is ruled out for good only where the plan's row has moved on. */
function explainConflict(
  write: LedgerWrite,
  rows: readonly Row[],
  planRow: Row | undefined,
): LedgerResult {
  if (planRow !== undefined) return { type: 'plan-changed', row: planRow };
  if (write.isDoubtful && write.purpose.type !== 'advance') {
    return { type: 'unknown', detail: 'The table did not say whether the write took effect' };
  }
  if (rows.some((row) => row.table === LEASES_TABLE)) return { type: 'lease-lost' };
  const claims = rows.filter((row) => row.table === CLAIMS_TABLE);
  if (claims.length > 0) return { type: 'claimed', rows: claims };
  return rows.length > 0
    ? { type: 'unavailable', detail: 'Too many changes at once; nothing was written' }
    : { type: 'lease-lost' };
}

function catchUp(state: Plans, write: LedgerWrite): Step {
  const opened = openCallAs(state, { type: 'catch-up', write });
  const from = formatRevisionKey(state.configuration.revision + 1);
  const to = formatRevisionKey(state.head.value.revision + 1);
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
  const revisions = result.rows.map((row) => readRevision(row.value));
  const configuration = revisions
    .filter((revision) => revision.number > state.configuration.revision)
    .reduce<Configuration>(applyRevision, state.configuration);
  return sendWrite({ ...state, configuration }, write, at);
}
