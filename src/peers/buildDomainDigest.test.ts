import { buildDomainDigest } from './buildDomainDigest';
import type { PeerStatus } from './peer';
import { createPeerRecord as record } from './testPeer';

const createStatus = (heardMs: number, running: number): PeerStatus => ({
  incarnation: 'x',
  isAccepting: true,
  heardMs,
  work: { servers: new Map([['engine', { reserved: 10 * running, running }]]), crossingPerMs: 1 },
});

describe('buildDomainDigest', () => {
  it('sums the work of the VMs of its domain with recent heartbeats', () => {
    const digest = buildDomainDigest({
      failureDomain: 'a',
      self: { vm: 'a1', incarnation: 's', isAccepting: true, heardAgoMs: 0 },
      ownWork: { servers: new Map([['engine', { reserved: 5, running: 1 }]]), crossingPerMs: 2 },
      records: [record('a1'), record('a2'), record('a3'), record('b1', { failureDomain: 'b' })],
      statuses: new Map([
        ['a2', createStatus(9_700, 2)],
        ['a3', createStatus(5_000, 4)],
        ['b1', createStatus(9_900, 8)],
      ]),
      nowMs: 10_000,
      validMs: 3_000,
    });
    expect(digest.work).toEqual({
      servers: new Map([['engine', { reserved: 25, running: 3 }]]),
      crossingPerMs: 3,
    });
    expect(digest.members.map(({ vm, heardAgoMs }) => [vm, heardAgoMs])).toEqual([
      ['a1', 0],
      ['a2', 300],
      ['a3', 5_000],
    ]);
  });
});
