/**
 * Chooses the VMs that ask an engine at once when a stream is silent while silences are common. What they learn
 * reaches the others as a suspicion. No message chooses them: each VM decides by its own name, so a VM that fails
 * is missed by none, and each engine has others.
 */

import { hash32 } from '../hashing/hash32';

export interface ProberChoice {
  /** Name of this VM. */
  readonly vm: string;
  readonly server: string;
  /** Number of VMs that use the same servers. */
  readonly vms: number;
}

/** VMs that ask for each server, on average; with fewer VMs in all, each asks. */
const PROBERS = 8;

const HASH_RANGE = 2 ** 32;

export function isEarlyProber({ vm, server, vms }: ProberChoice): boolean {
  return hash32(`${server} ${vm}`) * vms < PROBERS * HASH_RANGE;
}
