/**
 * Events and effects of the operations component of a node. It calls plain services and ensures that a call
 * that is not idempotent runs at most once.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Configuration } from '../configuration/configuration';
import type { CallId, Occurrence, SharedEffect, SharedEvent } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import type { ServerHealth } from '../requests/routerMessage';
import type { ServiceId } from '../services/service';
import type { Address, Incarnation, VmId } from '../vms/vm';
import type { WorkspaceId } from '../workspaces/workspace';
import type { OperationId } from './operation';

/** A call to a plain service, received from a caller or forwarded by another VM. */
export interface PlainCall {
  /** Unique on the VM that received it. */
  readonly call: CallId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  /** `ticket/sequence`, or the caller's own `Idempotency-Key`; undefined if the caller sent none. */
  readonly operation?: OperationId;
  /** The VM that forwarded the call; undefined if the caller sent it here. */
  readonly forwardedBy?: VmId;
  /** Set if the call only queries the outcome; it never dispatches anything. */
  readonly asksOutcome?: boolean;
}

export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type CallResult =
  | { readonly type: 'answered'; readonly answer: PlainAnswer }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** How far a failed call to a backend server got. */
export type CallFailure =
  /** No connection was made; nothing left this VM. */
  | 'unreachable'
  /** The connection broke or timed out after bytes of the call may have left. */
  | 'reset'
  | 'timeout';

/** A live VM as the fleet component sees it. */
export interface PeerVm {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  readonly http: Address;
  readonly peer: Address;
}

export type OperationEvent =
  | ({ readonly type: 'configuration-changed'; readonly configuration: Configuration } & Occurrence)
  | ({ readonly type: 'call-received'; readonly call: PlainCall } & Occurrence)
  /** Answers `call-backend`; `notRun` is true if the backend server states that nothing ran. */
  | ({
      readonly type: 'backend-answered';
      readonly dispatch: CallId;
      readonly answer: PlainAnswer;
      readonly notRun: boolean;
    } & Occurrence)
  | ({
      readonly type: 'backend-failed';
      readonly dispatch: CallId;
      readonly failure: CallFailure;
      readonly detail: string;
    } & Occurrence)
  /** Answers `forward`; `unreachable` also covers a peer that has another incarnation by now. */
  | ({
      readonly type: 'forwarded';
      readonly call: CallId;
      readonly result: CallResult | { readonly type: 'unreachable' | 'lost' };
    } & Occurrence)
  | ({
      readonly type: 'ticket-asked';
      readonly call: CallId;
      readonly workspace: WorkspaceId;
    } & Occurrence)
  | ({
      readonly type: 'operation-asked';
      readonly call: CallId;
      readonly workspace: WorkspaceId;
      readonly operation: OperationId;
    } & Occurrence)
  | ({ readonly type: 'vms-changed'; readonly vms: readonly PeerVm[] } & Occurrence)
  | ({ readonly type: 'servers-changed'; readonly servers: readonly ServerHealth[] } & Occurrence)
  | ({
      readonly type: 'accepting-changed';
      readonly isAccepting: boolean;
      readonly reason: string;
    } & Occurrence)
  /**
   * Starts a drain: no new tickets are granted, and results are written to the table at short intervals.
   * Operations are accepted until `accepting-changed`. `handed-over` follows when nothing runs and all
   * results are in the table.
   */
  | ({ readonly type: 'drain-started' } & Occurrence)
  | SharedEvent;

export type OperationEffect =
  | {
      readonly type: 'call-backend';
      readonly dispatch: CallId;
      readonly server: BackendServerId;
      readonly address: Address;
      readonly method: string;
      readonly path: string;
      readonly body: string;
      readonly contentType: string;
      /** Sent as `Idempotency-Key`. */
      readonly key?: string;
      readonly timeoutMs: number;
    }
  | { readonly type: 'forward'; readonly vm: PeerVm; readonly call: PlainCall }
  | { readonly type: 'answer'; readonly call: CallId; readonly result: CallResult }
  | { readonly type: 'grant-ticket'; readonly call: CallId; readonly ticket: string }
  | { readonly type: 'handed-over' }
  | {
      readonly type: 'observe-server';
      readonly server: BackendServerId;
      readonly observation: 'served' | 'failed' | 'slow' | 'crashed' | 'leaving';
    }
  | SharedEffect;
