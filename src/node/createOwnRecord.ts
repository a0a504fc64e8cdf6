/** Creates the record by which the other VMs know this incarnation of the VM. */

import { randomUUID } from 'node:crypto';
import type { PeerRecord } from '../peers/peer';
import type { GatewaySettings } from './gatewaySettings';

/** Length of an incarnation's id: short, as every heartbeat contains it, but different for each incarnation of a VM. */
const INCARNATION_CHARS = 8;

/** @returns a record with a new incarnation */
export function createOwnRecord({
  vm,
  listen,
}: Pick<GatewaySettings, 'vm' | 'listen'>): PeerRecord {
  return {
    vm: vm.name,
    incarnation: randomUUID().slice(0, INCARNATION_CHARS),
    callerAddress: listen.callers,
    peerAddress: listen.peers,
    tableAddress: listen.tables,
    failureDomain: vm.failure_domain,
    cores: vm.cores,
  };
}
