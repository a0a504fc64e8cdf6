/** Creates records of VMs for tests. */

import type { PeerRecord } from './peer';

/** @returns the record of a VM in failure domain `a` with one core, unless `more` overrides them */
export function createPeerRecord(vm: string, more: Partial<PeerRecord> = {}): PeerRecord {
  return {
    vm,
    incarnation: `${vm}-1`,
    callerAddress: `${vm}:80`,
    peerAddress: `${vm}:70`,
    tableAddress: `${vm}:71`,
    failureDomain: 'a',
    cores: 1,
    ...more,
  };
}
