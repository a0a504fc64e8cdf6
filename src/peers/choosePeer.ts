/** Chooses the VM that serves a request for another one. */

import type { PeerRecord } from './peer';

export interface PeerChoice {
  /** Name of the VM that has the request. */
  readonly self: string;
  /** Names of VMs that have had it. */
  readonly except: ReadonlySet<string>;
  /** Uniform in [0, 1), which spreads the requests. */
  readonly random: number;
}

/** @returns undefined if no VM is left */
export function choosePeer(
  peers: readonly PeerRecord[],
  { self, except, random }: PeerChoice,
): PeerRecord | undefined {
  const candidates = peers.filter(({ vm }) => vm !== self && !except.has(vm));
  return candidates[Math.floor(random * candidates.length)];
}
