/** Writes how far a plan has come, under the holder's lease. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { auditBody } from './auditBody';
import type { AuditAction, AuditBody } from './auditEntry';
import { claimKeys } from './claimKeys';
import { currentSteps } from './driveExecution';
import type { Execution } from './execution';
import type { LedgerCommit, LedgerWrite } from './ledgerWrite';
import { nextMarker } from './nextMarker';
import type { PlanStep } from './plan';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';
import { setExecution } from './setExecution';
import { startUndo } from './startUndo';

/** What the holder has to write. */
export type Move =
  /** Orders of the step may go out from now on. */
  | { readonly type: 'begin'; readonly what: string }
  /** The step is done; a commit is made in this very write. */
  | {
      readonly type: 'done';
      readonly what: string;
      readonly commit?: PlanStep & { type: 'commit' };
    }
  | { readonly type: 'undo'; readonly cause: string }
  /** No step is left. */
  | { readonly type: 'close' };

/** Sends the write; closes the plan with it where its last step is done. */
export function writeAdvance(
  state: Plans,
  execution: Execution,
  move: Move,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const moved = movedRecord(execution.record, move);
  const isOver = moved.step >= currentSteps(moved).length;
  const record = isOver ? closed(moved) : moved;
  const id = nextMarker(state, at);
  const { holder } = state.options;
  const value = isOver ? undefined : { holder, fencing: execution.fencing, marker: id };
  const write: LedgerWrite = {
    id,
    record,
    planVersion: execution.planVersion,
    lease: { expected: execution.leaseVersion, value },
    audit: auditOf(state, execution, move, isOver, at),
    purpose: { type: 'advance' },
    races: 0,
    isDoubtful: false,
    startedAtMs: at.atMs,
  };
  const claims = { action: 'release', keys: claimKeys(record.plan) } as const;
  const commit = commitOf(execution.record, move);
  const full: LedgerWrite = {
    ...write,
    ...(isOver ? { claims } : {}),
    ...(commit === undefined ? {} : { commit }),
  };
  return sendWrite(setExecution(state, execution, { isWriting: true }), full, at);
}

function movedRecord(record: PlanRecord, move: Move): PlanRecord {
  const records: Readonly<Record<Move['type'], () => PlanRecord>> = {
    begin: () => ({ ...record, isStepStarted: true }),
    done: () => ({ ...record, step: record.step + 1, isStepStarted: false }),
    undo: () => startUndo(record, move.type === 'undo' ? move.cause : ''),
    close: () => record,
  };
  return records[move.type]();
}

function closed(record: PlanRecord): PlanRecord {
  return { ...record, status: record.status === 'undoing' ? 'undone' : 'done' };
}

function commitOf(record: PlanRecord, move: Move): LedgerCommit | undefined {
  if (move.type !== 'done' || move.commit === undefined) return undefined;
  const isUndoing = record.status === 'undoing';
  const capacity = record.plan.preconditions.filter(({ type }) => type === 'capacity');
  return {
    operator: record.confirmedBy,
    reason: record.reason,
    changes: move.commit.changes,
    preconditions: isUndoing ? [] : capacity,
  };
}

/** Entries of each kind of move. */
const ACTIONS: Readonly<Record<Move['type'], readonly AuditAction[]>> = {
  begin: ['ordering'],
  done: ['ordered'],
  undo: ['undoing'],
  close: [],
};

function auditOf(
  state: Plans,
  { record, fencing }: Execution,
  move: Move,
  isOver: boolean,
  at: Occurrence,
): readonly AuditBody[] {
  const wallMs = at.atMs + (state.wallOffsetMs ?? 0);
  const who = record.confirmedBy;
  const isCommit = move.type === 'done' && move.commit !== undefined;
  const step = currentSteps(record)[record.step];
  const isDrained = move.type === 'done' && step?.type === 'drain';
  const done: AuditAction = isDrained ? 'drained' : 'committed';
  const actions = isCommit || isDrained ? [done] : ACTIONS[move.type];
  const what = describeMove(move);
  const bodies = actions.map((action) => auditBody(record, { wallMs, who, action, what, fencing }));
  if (!isOver) return bodies;
  const end = record.status === 'undoing' || move.type === 'undo' ? 'undone' : 'done';
  const closing = { wallMs, who, action: 'finished', what: end, fencing } as const;
  return [...bodies, auditBody(record, closing)];
}

function describeMove(move: Move): string {
  if (move.type === 'undo') return move.cause;
  return move.type === 'close' ? '' : move.what;
}
