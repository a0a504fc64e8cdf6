/** Decides which VMs callers may be sent to. */

import type { HeardPeer, PeerRecord } from './peer';

export interface PeerView {
  /** Every VM that has written itself into the store, this one included. */
  readonly records: readonly PeerRecord[];
  /** Heartbeats by VM. */
  readonly heard: ReadonlyMap<string, HeardPeer>;
  /** When each record was first seen, by incarnation, monotonic, milliseconds. */
  readonly firstSeenMs: ReadonlyMap<string, number>;
  readonly self: string;
  readonly isSelfAccepting: boolean;
  readonly nowMs: number;
  /** Silence after which a VM counts as gone, milliseconds. */
  readonly silentMs: number;
}

/**
 * A VM is live while its heartbeats come. One that is new is given the time of a few heartbeats; a VM
 * that hears nobody doubts itself rather than all others, and lists them all.
 *
 * @returns the VMs that accept callers, this one among them where it does
 */
export function listLivePeers(view: PeerView): readonly PeerRecord[] {
  const { records, heard, firstSeenMs, self, nowMs, silentMs } = view;
  const others = records.filter(({ vm }) => vm !== self);
  const isFresh = (atMs: number | undefined): boolean =>
    atMs !== undefined && nowMs - atMs < silentMs;
  const hearsAnyone = others.some(({ vm }) => isFresh(heard.get(vm)?.heardMs));
  const isLive = ({ vm, incarnation }: PeerRecord): boolean => {
    if (vm === self) return view.isSelfAccepting;
    const word = heard.get(vm);
    if (word !== undefined && isFresh(word.heardMs)) return word.isAccepting;
    return !hearsAnyone || (word === undefined && isFresh(firstSeenMs.get(incarnation)));
  };
  return records.filter(isLive);
}

/** VMs of the caller's failure domain that an answer needs, so that one loss leaves another. */
const ENOUGH_NEARBY = 2;

/**
 * @param live VMs that accept callers
 * @param failureDomain where the caller is
 * @param limit most addresses in an answer
 * @returns caller addresses: those nearby where there are enough, else all
 */
export function chooseAddresses(
  live: readonly PeerRecord[],
  failureDomain: string | undefined,
  limit: number,
): readonly string[] {
  const near = live.filter((peer) => peer.failureDomain === failureDomain);
  const chosen = near.length >= ENOUGH_NEARBY ? near : live;
  return chosen.slice(0, limit).map(({ callerAddress }) => callerAddress);
}
