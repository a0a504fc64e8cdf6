import { listMembers } from './listMembers';
import type { PeerStatus } from './peer';
import { createPeerRecord } from './testPeer';

const createStatus = (heardMs: number): PeerStatus => ({
  incarnation: '1',
  isAccepting: true,
  heardMs,
});

describe('listMembers', () => {
  it('lists VMs with a record, however long they have been silent, and VMs heard lately', () => {
    const members = listMembers({
      records: [createPeerRecord('vm-2'), createPeerRecord('vm-1')],
      statuses: new Map([
        ['vm-1', createStatus(0)],
        ['vm-3', createStatus(12_000)],
        ['vm-4', createStatus(1_000)],
      ]),
      nowMs: 15_000,
      silentMs: 10_000,
    });
    expect(members).toEqual(['vm-1', 'vm-2', 'vm-3']);
  });
});
