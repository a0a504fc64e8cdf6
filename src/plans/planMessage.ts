/**
 * Events and effects of the plans component of a node: operators' intents, plans, confirmations,
 * the execution of steps under a lease, and the audit trail.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Configuration, RevisionNumber } from '../configuration/configuration';
import type { EngineOrder, EngineState, OrderResult } from '../contracts/engineContract';
import type { CallId, Occurrence, SharedEffect, SharedEvent } from '../decisions/primitive';
import type { ServerHealth } from '../requests/routerMessage';
import type { Address } from '../vms/vm';
import type { Intent } from './intent';
import type { PlanId } from './plan';

/** Permissions of an operator; each role includes the ones before it. */
export type OperatorRole = 'read' | 'plan' | 'confirm';

export interface Operator {
  readonly name: string;
  readonly role: OperatorRole;
}

/** Requests of operators; each gets one `answer`. */
export type OperatorRequest =
  | { readonly type: 'state-intent'; readonly intent: Intent; readonly reason: string }
  | { readonly type: 'confirm-plan'; readonly plan: PlanId }
  | { readonly type: 'cancel-plan'; readonly plan: PlanId }
  | { readonly type: 'list-plans' }
  | { readonly type: 'show-plan'; readonly plan: PlanId }
  | {
      readonly type: 'read-audit';
      readonly since?: number;
      readonly service?: string;
      readonly who?: string;
      readonly limit: number;
      /** Also checks the hash chain of the whole trail. */
      readonly verify?: boolean;
    };

export type PlanEvent =
  | ({ readonly type: 'configuration-changed'; readonly configuration: Configuration } & Occurrence)
  | ({ readonly type: 'configuration-accepted'; readonly revision: RevisionNumber } & Occurrence)
  | ({
      readonly type: 'operator-asked';
      readonly call: CallId;
      readonly operator: Operator;
      readonly ask: OperatorRequest;
      /** Wall clock for the audit trail and for expiries, milliseconds. */
      readonly wallMs: number;
      /** Fresh unique id for a plan or change. */
      readonly id: string;
    } & Occurrence)
  | ({
      readonly type: 'order-answered';
      readonly call: CallId;
      readonly result: OrderResult | { readonly type: 'unreachable' | 'lost' };
    } & Occurrence)
  | ({
      readonly type: 'engine-read';
      readonly call: CallId;
      readonly result:
        | {
            readonly type: 'state';
            readonly state: EngineState;
            readonly fencing: number;
            /** Requests that run or wait on it, from its load report; needed to drain it. */
            readonly running?: number;
          }
        | { readonly type: 'unreachable' };
    } & Occurrence)
  | ({ readonly type: 'servers-changed'; readonly servers: readonly ServerHealth[] } & Occurrence)
  /**
   * Occurs about once a second: provides the wall clock and triggers scans for plans to execute.
   */
  | ({ readonly type: 'ticked'; readonly wallMs: number; readonly id: string } & Occurrence)
  | SharedEvent;

export type PlanEffect =
  /** `body` is JSON-ready; `status` an HTTP status. */
  | {
      readonly type: 'answer';
      readonly call: CallId;
      readonly status: number;
      readonly body: unknown;
    }
  | {
      readonly type: 'order-engine';
      readonly call: CallId;
      readonly server: BackendServerId;
      readonly address: Address;
      readonly order: EngineOrder;
    }
  | {
      readonly type: 'read-engine';
      readonly call: CallId;
      readonly server: BackendServerId;
      readonly address: Address;
    }
  | { readonly type: 'head-committed'; readonly revision: RevisionNumber }
  /** A confirmed plan orders this VM to leave; the fleet component drains it. */
  | { readonly type: 'drain-self' }
  | SharedEffect;
