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

/** What the plan rests on; checked again at confirm, against the configuration at the head. */
export type Precondition =
  /** The object still has this digest, or still does not exist where it is undefined. */
  | {
      readonly type: 'unchanged';
      readonly kind: ObjectKind;
      readonly key: ObjectKey;
      readonly digest: string | undefined;
    }
  /** The object exists, whatever its contents. */
  | { readonly type: 'exists'; readonly kind: ObjectKind; readonly key: ObjectKey }
  /** With the plan's changes made, the bound of the model is at least this, tokens a second. */
  | {
      readonly type: 'capacity';
      readonly model: ModelId;
      readonly tokensPerSecond: number;
    };

/** One step; each names the wanted state, so that it is safe to repeat. */
export type PlanStep =
  | {
      readonly type: 'commit';
      readonly changes: readonly Change[];
      /** Takes the changes back. */
      readonly undo: readonly Change[];
    }
  | {
      readonly type: 'order';
      readonly engine: BackendServerId;
      readonly wanted: EngineState;
      /** What it held before; undefined for an engine that was not there. */
      readonly before: EngineState | undefined;
    }
  /**
   * Waits until every VM has the last revision and the backend server has no work left. A plain
   * service reports no load: its longest call time `waitMs` passes instead.
   */
  | {
      readonly type: 'drain';
      readonly backendServer: BackendServerId;
      readonly waitMs: number;
    }
  /** Tells a VM to leave, and waits until it has said that it does. */
  | { readonly type: 'drain-vm'; readonly vm: VmId };

/** Throughput of one service, tokens a second, as the bound predicts it. */
export interface PredictedThroughput {
  /** `workspace/id` of the service. */
  readonly service: string;
  readonly before: number;
  /** Lowest while the steps run. */
  readonly during: number;
  readonly after: number;
}

/** What carrying out the plan costs. */
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
  /** Alternatives that were weighed, and why they lost. */
  readonly rejected: readonly string[];
}
