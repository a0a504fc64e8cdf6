/**
 * Builds a relay's digest of its own failure domain: the VMs from which it receives heartbeats, and the
 * sum of their work.
 */

import type { GatewayWork } from '../gateway/gatewayWork';
import { sumWork } from './combineWork';
import type { DomainDigest, DomainMember, PeerStatus, PeerRecord } from './peer';

export interface DomainView {
  readonly failureDomain: string;
  readonly self: DomainMember;
  readonly ownWork: GatewayWork;
  readonly records: readonly PeerRecord[];
  /** Last known status by VM. */
  readonly statuses: ReadonlyMap<string, PeerStatus>;
  readonly nowMs: number;
  /** Age from which a VM's work is left out of the sum, milliseconds. */
  readonly validMs: number;
}

/** @returns the digest, this VM included */
export function buildDomainDigest(view: DomainView): DomainDigest {
  const { failureDomain, self, ownWork, records, statuses, nowMs, validMs } = view;
  const neighbours = records
    .filter((record) => record.failureDomain === failureDomain && record.vm !== self.vm)
    .flatMap(({ vm }) => {
      const status = statuses.get(vm);
      return status === undefined ? [] : [{ vm, status, heardAgoMs: nowMs - status.heardMs }];
    });
  return {
    failureDomain,
    members: [
      self,
      ...neighbours.map(({ vm, status, heardAgoMs }) => ({
        vm,
        incarnation: status.incarnation,
        isAccepting: status.isAccepting,
        heardAgoMs,
      })),
    ],
    work: sumWork([
      ownWork,
      ...neighbours
        .filter(({ heardAgoMs }) => heardAgoMs < validMs)
        .flatMap(({ status }) => status.work ?? []),
    ]),
  };
}
