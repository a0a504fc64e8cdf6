/** The row of a plan: the plan itself, the intent that it answers, and how far it has come. */

import type { RevisionNumber } from '../configuration/configuration';
import type { Intent } from './intent';
import type { Plan, PlanStep } from './plan';

/**
 * `proposed` waits for an operator. `running` has a confirmed first step, `undoing` runs the
 * steps that take back what was done. The others are final.
 */
export type PlanStatus = 'proposed' | 'running' | 'undoing' | 'done' | 'undone' | 'cancelled';

export interface PlanRecord {
  readonly plan: Plan;
  readonly intent: Intent;
  readonly reason: string;
  readonly status: PlanStatus;
  /** Steps that take back what was done; run in place of the plan's steps while undoing. */
  readonly undo: readonly PlanStep[];
  /** Index of the next step. */
  readonly step: number;
  /** Whether orders of the step at `step` may have left a holder. */
  readonly isStepStarted: boolean;
  /** Who confirmed it; empty before. */
  readonly confirmedBy: string;
  /** Why it is undone or was cancelled; empty where it is not. */
  readonly cause: string;
  /** The last revision that the plan committed, 0 before. */
  readonly revision: RevisionNumber;
  /** Ids of the last writes of this row, newest last, by which an ambiguous write is settled. */
  readonly markers: readonly string[];
}
