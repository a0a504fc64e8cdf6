/** Writes the progress of a plan under the holder's lease. */

import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import { createAuditBody } from './createAuditBody';
import type { AuditAction, AuditBody } from './auditEntry';
import { listClaimKeys } from './listClaimKeys';
import { getCurrentSteps } from './advanceExecution';
import type { Execution } from './execution';
import type { LedgerCommit, LedgerWrite } from './ledgerWrite';
import { createMarker } from './createMarker';
import type { PlanStep } from './plan';
import type { PlanEffect } from './planMessage';
import type { PlanRecord } from './planRecord';
import type { Plans } from './planState';
import { sendWrite } from './sendWrite';
import { setExecution } from './setExecution';
import { startUndo } from './startUndo';

/** A change of a plan's progress that its lease holder writes. */
export type Transition =
  /** Orders of the step may be sent from now on. */
  | { readonly type: 'begin'; readonly what: string }
  /** The step is done; a commit takes effect with the same write. */
  | {
      readonly type: 'done';
      readonly what: string;
      readonly commit?: PlanStep & { type: 'commit' };
    }
  | { readonly type: 'undo'; readonly cause: string }
  /** No step is left. */
  | { readonly type: 'close' };

/** Sends the write, which also closes the plan once its last step is done. */
export function writeTransition(
  state: Plans,
  execution: Execution,
  transition: Transition,
  at: Occurrence,
): Decision<Plans, PlanEffect> {
  const next = applyTransition(execution.record, transition);
  const isComplete = next.step >= getCurrentSteps(next).length;
  const record = isComplete ? closeRecord(next) : next;
  const id = createMarker(state, at);
  const { holder } = state.options;
  const value = isComplete ? undefined : { holder, fencing: execution.fencing, marker: id };
  const write: LedgerWrite = {
    id,
    record,
    planVersion: execution.planVersion,
    lease: { expected: execution.leaseVersion, value },
    audit: createAuditBodies(state, execution, transition, isComplete, at),
    purpose: { type: 'advance' },
    headRetries: 0,
    isAmbiguous: false,
    startedAtMs: at.atMs,
  };
  const claims = { action: 'release', keys: listClaimKeys(record.plan) } as const;
  const commit = createCommit(execution.record, transition);
  const completeWrite: LedgerWrite = {
    ...write,
    ...(isComplete ? { claims } : {}),
    ...(commit === undefined ? {} : { commit }),
  };
  return sendWrite(setExecution(state, execution, { isWriting: true }), completeWrite, at);
}

function applyTransition(record: PlanRecord, transition: Transition): PlanRecord {
  const records: Readonly<Record<Transition['type'], () => PlanRecord>> = {
    begin: () => ({ ...record, isStepStarted: true }),
    done: () => ({ ...record, step: record.step + 1, isStepStarted: false }),
    undo: () => startUndo(record, transition.type === 'undo' ? transition.cause : ''),
    close: () => record,
  };
  return records[transition.type]();
}

function closeRecord(record: PlanRecord): PlanRecord {
  return { ...record, status: record.status === 'undoing' ? 'undone' : 'done' };
}

function createCommit(record: PlanRecord, transition: Transition): LedgerCommit | undefined {
  if (transition.type !== 'done' || transition.commit === undefined) return undefined;
  const isUndoing = record.status === 'undoing';
  const capacity = record.plan.preconditions.filter(({ type }) => type === 'capacity');
  return {
    operator: record.confirmedBy,
    reason: record.reason,
    changes: transition.commit.changes,
    preconditions: isUndoing ? [] : capacity,
  };
}

/** Audit actions of each type of transition. */
const ACTIONS: Readonly<Record<Transition['type'], readonly AuditAction[]>> = {
  begin: ['ordering'],
  done: ['ordered'],
  undo: ['undoing'],
  close: [],
};

function createAuditBodies(
  state: Plans,
  { record, fencing }: Execution,
  transition: Transition,
  isComplete: boolean,
  at: Occurrence,
): readonly AuditBody[] {
  const wallMs = at.atMs + (state.wallOffsetMs ?? 0);
  const who = record.confirmedBy;
  const isCommit = transition.type === 'done' && transition.commit !== undefined;
  const step = getCurrentSteps(record)[record.step];
  const isDrained = transition.type === 'done' && step?.type === 'drain';
  const done: AuditAction = isDrained ? 'drained' : 'committed';
  const actions = isCommit || isDrained ? [done] : ACTIONS[transition.type];
  const what = describeTransition(transition);
  const bodies = actions.map((action) =>
    createAuditBody(record, { wallMs, who, action, what, fencing }),
  );
  if (!isComplete) return bodies;
  const end = record.status === 'undoing' || transition.type === 'undo' ? 'undone' : 'done';
  const closing = { wallMs, who, action: 'finished', what: end, fencing } as const;
  return [...bodies, createAuditBody(record, closing)];
}

function describeTransition(transition: Transition): string {
  if (transition.type === 'undo') return transition.cause;
  return transition.type === 'close' ? '' : transition.what;
}
