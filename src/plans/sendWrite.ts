/**
 * Sends a ledger write and handles its result. A write that loses a race for a head row is sent
 * again on the new head. A lost reply is resolved by looking for the write's marker in the plan's
 * row.
 */

import { applyRevision } from '../configuration/applyRevision';
import type { Configuration } from '../configuration/configuration';
import type { ReadResult, Row, RowVersion, RowWrite, TransactionResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { buildTransaction, commitsRevision } from './buildTransaction';
import { checkPreconditions } from './checkPreconditions';
import { dispatchWriteResult } from './dispatchWriteResult';
import { updateHeads } from './updateHeads';
import type { LedgerResult, LedgerWrite } from './ledgerWrite';
import type { OpenCall } from './openCall';
import { registerCall } from './registerCall';
import {
  ANSWER_DEADLINE_MS,
  MAX_CATCH_UP_REVISIONS,
  MAX_HEAD_RETRIES,
  RESOLVE_RETRY_MS,
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
import { decodeRevisionOrThrow } from './decodeRevisionOrThrow';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import { formatRevisionKey } from '../configuration/formatRevisionKey';

type PlansDecision = Decision<Plans, PlanEffect>;
type WriteCall = Extract<OpenCall, { readonly type: 'write' }>;

/** Sends a write. One that commits first catches up with the head and checks its preconditions. */
export function sendWrite(state: Plans, write: LedgerWrite, at: Occurrence): PlansDecision {
  if (write.commit !== undefined) {
    if (state.head.value.revision > state.configuration.revision) return catchUp(state, write);
    const { preconditions, changes } = write.commit;
    const failed = checkPreconditions(state.configuration, preconditions, changes);
    if (failed.length > 0) {
      return dispatchWriteResult(state, write, { type: 'preconditions-failed', failed }, at);
    }
  }
  const transaction = buildTransaction(write, state);
  const rows = transaction.writes;
  const opened = registerCall(state, { type: 'write', write, sentAtMs: at.atMs, rows });
  return {
    state: opened.state,
    effects: [{ type: 'transact', call: opened.id, transaction }],
  };
}

/** Handles the result of the transaction. */
export function handleWriteTransacted(
  state: Plans,
  { write, sentAtMs, rows }: WriteCall,
  result: TransactionResult,
  at: Occurrence,
): PlansDecision {
  if (result.type === 'committed') {
    const written = rows.map((row, index) => createWrittenRow(row, result.versions[index] ?? 0));
    return handleCommitted(state, write, sentAtMs, written, at);
  }
  if (result.type === 'ambiguous') {
    const ambiguous = { ...write, isAmbiguous: true };
    return write.isAmbiguous
      ? resolveWriteLater(state, ambiguous, sentAtMs)
      : resolveWrite(state, ambiguous, sentAtMs);
  }
  if (result.type === 'conflict') return handleConflict(state, write, result.rows, at);
  if (write.isAmbiguous) return resolveWriteLater(state, write, sentAtMs);
  return dispatchWriteResult(state, write, { type: 'unavailable', detail: result.detail }, at);
}

function createWrittenRow({ table, key, value }: RowWrite, version: RowVersion): Row {
  return { table, key, value: value ?? '', version };
}

function handleCommitted(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  rows: readonly Row[],
  at: Occurrence,
): PlansDecision {
  const record = decodePlanRecord(rows[0]?.value ?? '');
  const revision = commitsRevision(write) ? record.revision : 0;
  const updated = updateHeads(state, rows);
  const next = revision === 0 ? updated : applyOwnRevision(updated, write, revision);
  const result: LedgerResult = {
    type: 'committed',
    record,
    planVersion: rows[0]?.version ?? 0,
    leaseVersion: write.lease === undefined ? 0 : (rows[1]?.version ?? 0),
    revision,
    sentAtMs,
  };
  const after = dispatchWriteResult(next, write, result, at);
  if (revision === 0) return after;
  return { ...after, effects: [{ type: 'head-committed', revision }, ...after.effects] };
}

/**
 * Applies a revision just committed if it is the next one; otherwise the fleet component delivers
 * it.
 */
function applyOwnRevision(state: Plans, write: LedgerWrite, number: number): Plans {
  if (write.commit === undefined || number !== state.configuration.revision + 1) return state;
  const { operator, reason, changes } = write.commit;
  const revision = { number, changeId: write.id, operator, reason, changes };
  return { ...state, configuration: applyRevision(state.configuration, revision) };
}

/** Reads the plan's row, whose markers show whether the write took effect. */
function resolveWrite(state: Plans, write: LedgerWrite, sentAtMs: number): PlansDecision {
  const opened = registerCall(state, { type: 'settle', write, sentAtMs });
  const keys = [write.record.plan.id];
  return {
    state: opened.state,
    effects: [
      { type: 'count', counter: 'plan_writes_ambiguous', by: 1 },
      { type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys },
    ],
  };
}

function resolveWriteLater(state: Plans, write: LedgerWrite, sentAtMs: number): PlansDecision {
  const opened = registerCall(state, { type: 'settle-later', write, sentAtMs });
  const timer = { type: 'set-timer', timer: opened.id, afterMs: RESOLVE_RETRY_MS } as const;
  return { state: opened.state, effects: [timer] };
}

/** Looks up an ambiguous write again, unless the deadline for the answer has passed. */
export function retryResolution(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  at: Occurrence,
): PlansDecision {
  if (write.purpose.type !== 'advance' && at.atMs - write.startedAtMs > ANSWER_DEADLINE_MS) {
    const detail = 'The table did not say whether the write took effect';
    return dispatchWriteResult(state, write, { type: 'unknown', detail }, at);
  }
  return resolveWrite(state, write, sentAtMs);
}

/** Handles the plan's row read after a lost reply. */
export function handleMarkerRead(
  state: Plans,
  write: LedgerWrite,
  sentAtMs: number,
  result: ReadResult,
  at: Occurrence,
): PlansDecision {
  if (result.type === 'unavailable') return resolveWriteLater(state, write, sentAtMs);
  const row = result.rows.find((item) => item.key === write.record.plan.id);
  if (row !== undefined && hasMarker(row, write.id)) {
    return completeWrite(state, write, row, at);
  }
  return refreshHead(state, write);
}

/** Reads the heads again: if replies are lost, a conflict may never show them. */
function refreshHead(state: Plans, write: LedgerWrite): PlansDecision {
  const opened = registerCall(state, { type: 'refresh-head', write });
  const read = { type: 'read-rows', call: opened.id, table: CONFIGURATION_TABLE } as const;
  return { state: opened.state, effects: [{ ...read, keys: [HEAD_KEY] }] };
}

/** Handles the configuration's head, then reads the head of the audit trail. */
export function handleHeadRefreshed(
  state: Plans,
  write: LedgerWrite,
  result: ReadResult,
): PlansDecision {
  const updated = result.type === 'rows' ? updateHeads(state, result.rows) : state;
  const opened = registerCall(updated, { type: 'refresh-audit', write });
  const read = { type: 'read-rows', call: opened.id, table: AUDIT_TABLE } as const;
  return { state: opened.state, effects: [{ ...read, keys: [AUDIT_HEAD_KEY] }] };
}

/** Handles the head of the audit trail, then sends the write again. */
export function handleAuditRefreshed(
  state: Plans,
  write: LedgerWrite,
  result: ReadResult,
  at: Occurrence,
): PlansDecision {
  const updated = result.type === 'rows' ? updateHeads(state, result.rows) : state;
  return sendWrite(updated, write, at);
}

/**
 * Completes a write that took effect although its reply was lost; the plan's row contains its
 * revision. It is unknown which of several attempts took effect, so the lease counts from the first
 * one.
 */
function completeWrite(state: Plans, write: LedgerWrite, row: Row, at: Occurrence): PlansDecision {
  const record = decodePlanRecord(row.value);
  const revision = commitsRevision(write) ? record.revision : 0;
  const isLast = record.markers.at(-1) === write.id;
  const next = isLast && revision > 0 ? applyOwnRevision(state, write, revision) : state;
  const result: LedgerResult = {
    type: 'committed',
    record,
    planVersion: row.version,
    leaseVersion: 0,
    revision,
    sentAtMs: write.startedAtMs,
  };
  const after = dispatchWriteResult(next, write, result, at);
  if (revision === 0) return after;
  return { ...after, effects: [{ type: 'head-committed', revision }, ...after.effects] };
}

function handleConflict(
  state: Plans,
  write: LedgerWrite,
  rows: readonly Row[],
  at: Occurrence,
): PlansDecision {
  const planRow = rows.find((row) => row.table === PLANS_TABLE);
  if (planRow !== undefined && hasMarker(planRow, write.id)) {
    return completeWrite(state, write, planRow, at);
  }
  const updated = updateHeads(state, rows);
  const hasNewHead = updated.head !== state.head || updated.auditHead !== state.auditHead;
  const contested = rows.filter((row) => row.table === CLAIMS_TABLE || row.table === LEASES_TABLE);
  if (
    planRow === undefined &&
    contested.length === 0 &&
    hasNewHead &&
    write.headRetries < MAX_HEAD_RETRIES
  ) {
    return sendWrite(updated, { ...write, headRetries: write.headRetries + 1 }, at);
  }
  return dispatchWriteResult(updated, write, explainConflict(write, rows, planRow), at);
}

/** Whether a plan's row shows that this write took effect. */
function hasMarker(row: Row, id: string): boolean {
  return row.version > 0 && decodePlanRecord(row.value).markers.includes(id);
}

/**
 * Turns a conflict into a result. An ambiguous write is ruled out for good only if the plan's row
 * has changed.
 */
function explainConflict(
  write: LedgerWrite,
  rows: readonly Row[],
  planRow: Row | undefined,
): LedgerResult {
  if (planRow !== undefined) return { type: 'plan-changed', row: planRow };
  if (write.isAmbiguous && write.purpose.type !== 'advance') {
    return { type: 'unknown', detail: 'The table did not say whether the write took effect' };
  }
  if (rows.some((row) => row.table === LEASES_TABLE)) return { type: 'lease-lost' };
  const claims = rows.filter((row) => row.table === CLAIMS_TABLE);
  if (claims.length > 0) return { type: 'claimed', rows: claims };
  return rows.length > 0
    ? { type: 'unavailable', detail: 'Too many changes at once; nothing was written' }
    : { type: 'lease-lost' };
}

function catchUp(state: Plans, write: LedgerWrite): PlansDecision {
  const opened = registerCall(state, { type: 'catch-up', write });
  const from = formatRevisionKey(state.configuration.revision + 1);
  const to = formatRevisionKey(state.head.value.revision + 1);
  const range = { table: CONFIGURATION_TABLE, from, to, limit: MAX_CATCH_UP_REVISIONS };
  return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
}

/** Applies the missing revisions, then sends the write again. */
export function handleCaughtUp(
  state: Plans,
  write: LedgerWrite,
  result: ReadResult,
  at: Occurrence,
): PlansDecision {
  if (result.type === 'unavailable' || result.rows.length === 0) {
    const detail = result.type === 'unavailable' ? result.detail : 'Revisions are missing';
    return dispatchWriteResult(state, write, { type: 'unavailable', detail }, at);
  }
  const revisions = result.rows.map((row) => decodeRevisionOrThrow(row.value));
  const configuration = revisions
    .filter((revision) => revision.number > state.configuration.revision)
    .reduce<Configuration>(applyRevision, state.configuration);
  return sendWrite({ ...state, configuration }, write, at);
}
