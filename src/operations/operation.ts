/** A call to a plain service; where it is not idempotent it runs at most once. */

import type { ServiceId } from '../services/service';
import type { Incarnation, VmId } from '../vms/vm';
import type { WorkspaceId } from '../workspaces/workspace';

/** `ticket/sequence`, or a caller's own key. */
export type OperationId = string;

/** What an address answer hands to a caller: the home VM of the operations it will number. */
export interface Ticket {
  readonly workspace: WorkspaceId;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Tells the tickets of one home apart. */
  readonly serial: number;
}

export interface Operation {
  readonly id: OperationId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  /** Hash of method, path and body: a reused id with another body differs. */
  readonly fingerprint: string;
}
