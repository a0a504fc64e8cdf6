/** Encodes a VM's full record as its wire tuple. */

import type { RecordTuple } from './gossip';
import type { Vm } from './vm';

/** @returns the tuple; `decodeRecord` reads it back */
export function encodeRecord(vm: Vm): RecordTuple {
  const { http, peer, gossip } = vm.addresses;
  return [
    vm.id,
    vm.incarnation,
    vm.failureDomain,
    vm.region,
    http.host,
    http.port,
    peer.host,
    peer.port,
    gossip.host,
    gossip.port,
  ];
}
