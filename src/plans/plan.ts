/**
 * Intents and plans: an operator states an intent, gets a plan, and confirms it before anything
 * changes.
 */

import type { Change, ObjectKey, ObjectKind, RevisionNumber } from '../configuration/configuration';
import type { EngineState } from '../contracts/engineContract';
import type { BackendServerId } from '../backendServers/backendServer';

/** Unique id of a plan. */
export type PlanId = string;

/** An object that the plan rests on; it must still have this digest at confirm. */
export interface Precondition {
  readonly kind: ObjectKind;
  readonly key: ObjectKey;
  /** Hash of the object as it was read, or undefined where it did not exist. */
  readonly digest: string | undefined;
}

/** One step; each names the wanted state, so that it is safe to repeat. */
export type PlanStep =
  | { readonly type: 'commit'; readonly changes: readonly Change[] }
  | { readonly type: 'order'; readonly engine: BackendServerId; readonly wanted: EngineState }
  | { readonly type: 'drain'; readonly backendServer: BackendServerId };

/** Throughput of one service, tokens a second, as the bound predicts it. */
export interface PredictedThroughput {
  readonly service: string;
  readonly before: number;
  readonly during: number;
  readonly after: number;
}

export interface Plan {
  readonly id: PlanId;
  readonly operator: string;
  /** The intent in words, for the audit trail. */
  readonly summary: string;
  readonly basedOn: RevisionNumber;
  readonly preconditions: readonly Precondition[];
  readonly steps: readonly PlanStep[];
  readonly throughput: readonly PredictedThroughput[];
  readonly risks: readonly string[];
  /** Alternatives that were weighed, and why they lost. */
  readonly rejected: readonly string[];
}
