/** Sends the full records of all known VMs to a VM that requested them. */

import { encodeEntry } from './encodeEntry';
import { encodeRecord } from './encodeRecord';
import type { Fleet, FleetDecision } from './fleet';
import { MAX_RECORDS_PER_MESSAGE } from './fleetConstants';
import type { Member } from './member';
import { toPeer } from './toPeer';

/** Sends all records, split into messages of at most `MAX_RECORDS_PER_MESSAGE`. */
export function sendRecords(fleet: Fleet, to: Member): FleetDecision {
  const members = [...fleet.membership.members.values()].filter(({ vm }) => vm.incarnation > 0);
  const messages: Member[][] = [];
  for (let from = 0; from < members.length; from += MAX_RECORDS_PER_MESSAGE) {
    messages.push(members.slice(from, from + MAX_RECORDS_PER_MESSAGE));
  }
  return {
    state: fleet,
    effects: messages.map((some) => ({
      type: 'send-message',
      to: toPeer(to),
      body: {
        type: 'records',
        f: some.map(({ vm }) => encodeRecord(vm)),
        m: some.map(encodeEntry),
      },
    })),
  };
}
