/** The result of planning one intent: a draft of a plan, or the problems that prevent one. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Change } from '../configuration/configuration';
import type { EngineState } from '../contracts/engineContract';
import type { PlanStep, Precondition } from './plan';

/** A step without the state that precedes it. */
export type DraftStep =
  | { readonly type: 'commit'; readonly changes: readonly Change[] }
  | { readonly type: 'order'; readonly engine: BackendServerId; readonly wanted: EngineState }
  | Extract<PlanStep, { readonly type: 'drain' | 'drain-vm' }>;

/** A problem that makes an intent impossible, and its remedy. */
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
