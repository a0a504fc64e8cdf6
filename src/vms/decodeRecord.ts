/** Decodes a VM's full record from its wire tuple. */

import type { RecordTuple } from './gossip';
import type { Vm } from './vm';

/** @param tuple a tuple that has been validated */
export function decodeRecord(tuple: RecordTuple): Vm {
  const [id, incarnation, failureDomain, region, ...addresses] = tuple;
  const [httpHost, httpPort, peerHost, peerPort, gossipHost, gossipPort] = addresses;
  return {
    id,
    incarnation,
    failureDomain,
    region,
    addresses: {
      http: { host: httpHost, port: httpPort },
      peer: { host: peerHost, port: peerPort },
      gossip: { host: gossipHost, port: gossipPort },
    },
  };
}
