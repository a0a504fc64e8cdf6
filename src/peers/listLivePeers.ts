/** Lists the VMs to which callers may be directed. */

import type { PeerStatus, PeerRecord } from './peer';

export interface PeerView {
  /** Records of all VMs in the store, this one included. */
  readonly records: readonly PeerRecord[];
  /** Last known status by VM, from heartbeats. */
  readonly statuses: ReadonlyMap<string, PeerStatus>;
  /** Time at which each record was first seen, by incarnation; monotonic, milliseconds. */
  readonly firstSeenMs: ReadonlyMap<string, number>;
  readonly self: string;
  readonly isSelfAccepting: boolean;
  readonly nowMs: number;
  /** Silence after which a VM is no longer live, milliseconds. */
  readonly silentMs: number;
}

/**
 * A VM is live while its heartbeats arrive. A new VM has the time of a few heartbeats to send its first.
 * A VM that receives no heartbeats assumes that the fault is its own, and lists all others as live.
 *
 * @returns the VMs that accept callers, this one included if it does
 */
export function listLivePeers(view: PeerView): readonly PeerRecord[] {
  const { records, statuses, firstSeenMs, self, nowMs, silentMs } = view;
  const others = records.filter(({ vm }) => vm !== self);
  const isFresh = (atMs: number | undefined): boolean =>
    atMs !== undefined && nowMs - atMs < silentMs;
  const hasFreshPeer = others.some(({ vm }) => isFresh(statuses.get(vm)?.heardMs));
  const isLive = ({ vm, incarnation }: PeerRecord): boolean => {
    if (vm === self) return view.isSelfAccepting;
    const status = statuses.get(vm);
    if (status !== undefined && isFresh(status.heardMs)) return status.isAccepting;
    return !hasFreshPeer || (status === undefined && isFresh(firstSeenMs.get(incarnation)));
  };
  return records.filter(isLive);
}

/** VMs of the caller's failure domain that an answer needs, so that one remains if another fails. */
const MIN_NEARBY_ADDRESSES = 2;

/**
 * @param live VMs that accept callers
 * @param failureDomain failure domain of the caller
 * @param limit most addresses in an answer
 * @returns caller addresses in that failure domain if it has enough, otherwise all
 */
export function chooseAddresses(
  live: readonly PeerRecord[],
  failureDomain: string | undefined,
  limit: number,
): readonly string[] {
  const near = live.filter((peer) => peer.failureDomain === failureDomain);
  const chosen = near.length >= MIN_NEARBY_ADDRESSES ? near : live;
  return chosen.slice(0, limit).map(({ callerAddress }) => callerAddress);
}
