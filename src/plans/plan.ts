/**
 * Intents and plans: an operator states an intent, gets a plan, and confirms it before anything
 * changes.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Change, ObjectKey, ObjectKind, RevisionNumber } from '../configuration/configuration';
import type { EngineState } from '../contracts/engineContract';
import type { ModelId } from '../engines/engine';
import type { VmId } from '../vms/vm';

/** Unique id of a plan; ids sort newest first. */
export type PlanId = string;

/** A condition of the plan, checked again at confirmation against the configuration at the head. */
export type Precondition =
  /** The object still has this digest; undefined means that it still does not exist. */
  | {
      readonly type: 'unchanged';
      readonly kind: ObjectKind;
      readonly key: ObjectKey;
      readonly digest: string | undefined;
    }
  /** The object exists, whatever its contents. */
  | { readonly type: 'exists'; readonly kind: ObjectKind; readonly key: ObjectKey }
  /**
   * With the plan's changes applied, the predicted throughput of the model is at least this, tokens
   * a second.
   */
  | {
      readonly type: 'capacity';
      readonly model: ModelId;
      readonly tokensPerSecond: number;
    };

/** One step. Each names the wanted state and is therefore safe to repeat. */
export type PlanStep =
  | {
      readonly type: 'commit';
      readonly changes: readonly Change[];
      /** The changes that revert `changes`. */
      readonly undo: readonly Change[];
    }
  | {
      readonly type: 'order';
      readonly engine: BackendServerId;
      readonly wanted: EngineState;
      /** The state before the order; undefined for an engine that did not exist. */
      readonly before: EngineState | undefined;
    }
  /**
   * Waits until every VM has the last revision and the backend server has no work left. A plain
   * service reports no load; the step waits for its longest call time, `waitMs`, instead.
   */
  | {
      readonly type: 'drain';
      readonly backendServer: BackendServerId;
      readonly waitMs: number;
    }
  /** Orders a VM to leave, and waits until it acknowledges the order. */
  | { readonly type: 'drain-vm'; readonly vm: VmId };

/** Predicted throughput of one service, tokens a second. */
export interface PredictedThroughput {
  /** `workspace/id` of the service. */
  readonly service: string;
  readonly before: number;
  /** Lowest while the steps run. */
  readonly during: number;
  readonly after: number;
}

/** Cost of executing the plan. */
export interface PlanCost {
  /** Expected time of all steps, seconds. */
  readonly seconds: number;
  /** Weights that engines fetch from the weight store, bytes. */
  readonly weightStoreBytes: number;
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
  readonly cost: PlanCost;
  readonly risks: readonly string[];
  /** Rejected alternatives, with the reasons. */
  readonly rejected: readonly string[];
}
