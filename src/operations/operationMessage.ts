/**
 * What comes to and goes from the operations side of a node: the part that calls plain services and
 * makes sure that what is not idempotent runs at most once.
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

/** A caller's call to a plain service, as it reached this VM or was forwarded by another. */
export interface PlainCall {
  /** Unique on the VM that took it in. */
  readonly call: CallId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  /** `ticket/sequence`, or the caller's own `Idempotency-Key`; undefined where none came. */
  readonly operation?: OperationId;
  /** The VM that forwarded it; undefined where it came from the caller. */
  readonly forwardedBy?: VmId;
  /** Set where only the outcome is asked for; such a call never runs anything. */
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

/** How far a call to a backend server got when it failed. */
export type CallFailure =
  /** No connection was made; nothing left this VM. */
  | 'unreachable'
  /** The connection broke or timed out after bytes of the call may have left. */
  | 'reset'
  | 'timeout';

/** A live VM as the fleet side sees it. */
export interface PeerVm {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  readonly http: Address;
  readonly peer: Address;
}

export type OperationEvent =
  | ({ readonly type: 'configuration-changed'; readonly configuration: Configuration } & Occurrence)
  | ({ readonly type: 'call-received'; readonly call: PlainCall } & Occurrence)
  /** Answers `call-backend`; `notRun` is the backend server's own proof that nothing ran. */
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
  /** Answers `forward`; `unreachable` also where the peer has another incarnation. */
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
   * Drain: no new tickets, and results go to the table at once. Operations are taken until
   * `accepting-changed`; `handed-over` comes when nothing runs and all results are in the table.
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
