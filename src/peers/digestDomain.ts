/** What a relay says of its own failure domain: the VMs that it hears there, and the sum of their work. */

import type { GatewayWork } from '../gateway/gatewayWork';
import { addWork } from './combineWork';
import type { DomainDigest, DomainMember, HeardPeer, PeerRecord } from './peer';

export interface DomainView {
  readonly failureDomain: string;
  readonly self: DomainMember;
  readonly ownWork: GatewayWork;
  readonly records: readonly PeerRecord[];
  /** Last words by VM. */
  readonly heard: ReadonlyMap<string, HeardPeer>;
  readonly nowMs: number;
  /** Age from which a VM's work no longer counts, milliseconds. */
  readonly validMs: number;
}

/** @returns the digest, this VM included */
export function digestDomain(view: DomainView): DomainDigest {
  const { failureDomain, self, ownWork, records, heard, nowMs, validMs } = view;
  const near = records
    .filter((record) => record.failureDomain === failureDomain && record.vm !== self.vm)
    .flatMap(({ vm }) => {
      const word = heard.get(vm);
      return word === undefined ? [] : [{ vm, word, heardAgoMs: nowMs - word.heardMs }];
    });
  return {
    failureDomain,
    members: [
      self,
      ...near.map(({ vm, word, heardAgoMs }) => ({
        vm,
        incarnation: word.incarnation,
        isAccepting: word.isAccepting,
        heardAgoMs,
      })),
    ],
    work: addWork([
      ownWork,
      ...near
        .filter(({ heardAgoMs }) => heardAgoMs < validMs)
        .flatMap(({ word }) => word.work ?? []),
    ]),
  };
}
