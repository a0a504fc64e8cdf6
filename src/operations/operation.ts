/** Calls to plain services; a call that is not idempotent runs at most once. */

import type { ServiceId } from '../services/service';
import type { Incarnation, VmId } from '../vms/vm';
import type { WorkspaceId } from '../workspaces/workspace';

/** `ticket/sequence`, or a caller's own key. */
export type OperationId = string;

/**
 * Given to a caller in the answer to a request for addresses. Names the VM that owns the operations
 * which the caller numbers under the ticket. Refusal reasons call this owner the `home`.
 */
export interface Ticket {
  readonly workspace: WorkspaceId;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Unique among the tickets of one owning VM. */
  readonly serial: number;
}

export interface Operation {
  readonly id: OperationId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  /** Hash of the call's content; detects an id that is reused for a different call. */
  readonly fingerprint: string;
}
