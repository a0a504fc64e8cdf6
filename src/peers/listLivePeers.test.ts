import type { PeerView } from './listLivePeers';
import { chooseAddresses, listLivePeers } from './listLivePeers';
import { createPeerRecord as record } from './testPeer';

const view = (more: Partial<PeerView>): PeerView => ({
  records: [record('self'), record('near'), record('far')],
  statuses: new Map(),
  firstSeenMs: new Map(),
  self: 'self',
  isSelfAccepting: true,
  nowMs: 10_000,
  silentMs: 1_000,
  ...more,
});

const createStatus = (heardMs: number, isAccepting = true) => ({
  incarnation: 'any',
  isAccepting,
  heardMs,
});

const live = (more: Partial<PeerView>): readonly string[] =>
  listLivePeers(view(more)).map(({ vm }) => vm);

describe('listLivePeers', () => {
  it('leaves out a silent VM', () => {
    const statuses = new Map([
      ['near', createStatus(9_900)],
      ['far', createStatus(8_000)],
    ]);
    expect(live({ statuses })).toEqual(['self', 'near']);
  });

  it('leaves out a VM that does not accept callers', () => {
    const statuses = new Map([
      ['near', createStatus(9_900, false)],
      ['far', createStatus(9_900)],
    ]);
    expect(live({ statuses })).toEqual(['self', 'far']);
  });

  it('lists all VMs when it receives no heartbeats', () => {
    expect(live({ statuses: new Map([['near', createStatus(1_000)]]) })).toEqual([
      'self',
      'near',
      'far',
    ]);
  });

  it('gives a new VM time for its first heartbeat', () => {
    const firstSeenMs = new Map([['far-1', 9_500]]);
    expect(live({ statuses: new Map([['near', createStatus(9_900)]]), firstSeenMs })).toContain(
      'far',
    );
  });

  it('leaves itself out while it does not accept callers', () => {
    expect(
      live({ isSelfAccepting: false, statuses: new Map([['near', createStatus(9_900)]]) }),
    ).toEqual(['near']);
  });
});

describe('chooseAddresses', () => {
  const peers = [
    record('x', { failureDomain: 'a' }),
    record('y', { failureDomain: 'b' }),
    record('z', { failureDomain: 'b' }),
  ];

  it("lists only the VMs of the caller's failure domain if it has two", () => {
    expect(chooseAddresses(peers, 'b', 64)).toEqual(['y:80', 'z:80']);
  });

  it("lists all VMs if the caller's failure domain has only one", () => {
    expect(chooseAddresses(peers, 'a', 64)).toEqual(['x:80', 'y:80', 'z:80']);
  });
});
