/** Lists all VMs that may send to backend servers, whether or not they accept callers. */

import type { PeerRecord, PeerStatus } from './peer';

export interface MemberView {
  /** Records of all VMs in the store, this one included. */
  readonly records: readonly PeerRecord[];
  /** Last known status by VM, from heartbeats. */
  readonly statuses: ReadonlyMap<string, PeerStatus>;
  readonly nowMs: number;
  /** Silence after which a VM without a record is no longer a member, milliseconds. */
  readonly silentMs: number;
}

/**
 * A VM that stops or restarts has no record for a while, and still serves its last requests or soon serves
 * again, so it stays a member while its last heartbeat is recent.
 *
 * @returns names, in order
 */
export function listMembers({ records, statuses, nowMs, silentMs }: MemberView): readonly string[] {
  const heard = [...statuses]
    .filter(([, { heardMs }]) => nowMs - heardMs < silentMs)
    .map(([vm]) => vm);
  return [...new Set([...records.map(({ vm }) => vm), ...heard])].sort();
}
