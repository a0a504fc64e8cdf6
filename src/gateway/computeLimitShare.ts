/**
 * Divides a backend server's limit of requests among the VMs. Only as many VMs get a share as can each hold
 * a request ready without exceeding the limit together; which ones follows from the names, so that all VMs
 * that know the same fleet agree, and a VM that restarts leaves the shares of the others as they are.
 */

import { hash32 } from '../hashing/hash32';

export interface LimitDivision {
  /** Id of the server. */
  readonly server: string;
  /** Requests a second that the server takes from all VMs together. */
  readonly perSecond: number;
  /** The VM whose share is computed. */
  readonly vm: string;
  /** All VMs that may send to the server. */
  readonly vms: readonly string[];
}

/** VMs with a share, beyond one for each request a second of the limit. */
const EXTRA_SHARES = 2;

/** Requests a second of a lower limit: without any, no reply could tell that the limit has ended. */
const MIN_PER_SECOND = 0.1;

/** @returns requests a second that the VM may send to the server */
export function computeLimitShare({ server, perSecond, vm, vms }: LimitDivision): number {
  const shares = Math.max(1, Math.min(vms.length, Math.floor(perSecond) + EXTRA_SHARES));
  const rankOf = (name: string): number => hash32(`${server} ${name}`);
  const ownRank = rankOf(vm);
  const isBefore = (name: string): boolean => {
    const rank = rankOf(name);
    return rank < ownRank || (rank === ownRank && name < vm);
  };
  const position = vms.filter((name) => name !== vm && isBefore(name)).length;
  return position < shares ? Math.max(MIN_PER_SECOND, perSecond) / shares : 0;
}
