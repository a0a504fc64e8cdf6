import { digestDomain } from './digestDomain';
import type { HeardPeer } from './peer';
import { createPeerRecord as record } from './testPeer';

const word = (heardMs: number, running: number): HeardPeer => ({
  incarnation: 'x',
  isAccepting: true,
  heardMs,
  work: { servers: new Map([['engine', { reserved: 10 * running, running }]]), crossingPerMs: 1 },
});

describe('digestDomain', () => {
  it('sums the work of the VMs of its domain that were heard lately', () => {
    const digest = digestDomain({
      failureDomain: 'a',
      self: { vm: 'a1', incarnation: 's', isAccepting: true, heardAgoMs: 0 },
      ownWork: { servers: new Map([['engine', { reserved: 5, running: 1 }]]), crossingPerMs: 2 },
      records: [record('a1'), record('a2'), record('a3'), record('b1', { failureDomain: 'b' })],
      heard: new Map([
        ['a2', word(9_700, 2)],
        ['a3', word(5_000, 4)],
        ['b1', word(9_900, 8)],
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
