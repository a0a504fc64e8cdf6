/** The row of a plan: the plan, its intent and its progress. */

import type { RevisionNumber } from '../configuration/configuration';
import type { Intent } from './intent';
import type { Plan, PlanStep } from './plan';

/**
 * `proposed` waits for an operator. `running` has a confirmed first step; `undoing` runs the steps
 * that revert the completed ones. The others are final.
 */
export type PlanStatus = 'proposed' | 'running' | 'undoing' | 'done' | 'undone' | 'cancelled';

export interface PlanRecord {
  readonly plan: Plan;
  readonly intent: Intent;
  readonly reason: string;
  readonly status: PlanStatus;
  /** Steps that revert the completed ones; they run in place of the plan's steps while undoing. */
  readonly undo: readonly PlanStep[];
  /** Index of the next step. */
  readonly step: number;
  /** Whether a holder may have sent orders of the step at `step`. */
  readonly isStepStarted: boolean;
  /** The operator who confirmed it; empty before. */
  readonly confirmedBy: string;
  /** Why it is undone or was cancelled; otherwise empty. */
  readonly cause: string;
  /** The last revision that the plan committed, 0 before. */
  readonly revision: RevisionNumber;
  /** Ids of the last writes of this row, newest last, which resolve ambiguous writes. */
  readonly markers: readonly string[];
}
