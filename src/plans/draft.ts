/** What a planner gives for one intent: the makings of a plan, or why there is none. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Change } from '../configuration/configuration';
import type { EngineState } from '../contracts/engineContract';
import type { PlanStep, Precondition } from './plan';

/** A step before it is known what it will find. */
export type DraftStep =
  | { readonly type: 'commit'; readonly changes: readonly Change[] }
  | { readonly type: 'order'; readonly engine: BackendServerId; readonly wanted: EngineState }
  | Extract<PlanStep, { readonly type: 'drain' | 'drain-vm' }>;

/** What is wrong with an intent, and what would make it possible. */
export interface Problem {
  readonly problem: string;
  readonly remedy: string;
}

export interface Draft {
  readonly type: 'draft';
  readonly summary: string;
  readonly preconditions: readonly Precondition[];
  readonly steps: readonly DraftStep[];
  readonly risks: readonly string[];
  readonly rejected: readonly string[];
}

export interface Impossible {
  readonly type: 'impossible';
  readonly problems: readonly Problem[];
}
