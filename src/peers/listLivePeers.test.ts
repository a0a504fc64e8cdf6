import type { PeerView } from './listLivePeers';
import { chooseAddresses, listLivePeers } from './listLivePeers';
import { createPeerRecord as record } from './testPeer';

const view = (more: Partial<PeerView>): PeerView => ({
  records: [record('self'), record('near'), record('far')],
  heard: new Map(),
  firstSeenMs: new Map(),
  self: 'self',
  isSelfAccepting: true,
  nowMs: 10_000,
  silentMs: 1_000,
  ...more,
});

const heard = (heardMs: number, isAccepting = true) => ({
  incarnation: 'any',
  isAccepting,
  heardMs,
});

const live = (more: Partial<PeerView>): readonly string[] =>
  listLivePeers(view(more)).map(({ vm }) => vm);

describe('listLivePeers', () => {
  it('leaves out a VM that has fallen silent', () => {
    const words = new Map([
      ['near', heard(9_900)],
      ['far', heard(8_000)],
    ]);
    expect(live({ heard: words })).toEqual(['self', 'near']);
  });

  it('leaves out a VM that says it takes no callers', () => {
    const words = new Map([
      ['near', heard(9_900, false)],
      ['far', heard(9_900)],
    ]);
    expect(live({ heard: words })).toEqual(['self', 'far']);
  });

  it('doubts itself where it hears nobody', () => {
    expect(live({ heard: new Map([['near', heard(1_000)]]) })).toEqual(['self', 'near', 'far']);
  });

  it('gives a VM that has just appeared time for its first heartbeat', () => {
    const firstSeenMs = new Map([['far-1', 9_500]]);
    expect(live({ heard: new Map([['near', heard(9_900)]]), firstSeenMs })).toContain('far');
  });

  it('leaves itself out while it does not accept', () => {
    expect(live({ isSelfAccepting: false, heard: new Map([['near', heard(9_900)]]) })).toEqual([
      'near',
    ]);
  });
});

describe('chooseAddresses', () => {
  const peers = [
    record('x', { failureDomain: 'a' }),
    record('y', { failureDomain: 'b' }),
    record('z', { failureDomain: 'b' }),
  ];

  it('names the VMs nearby where there are two', () => {
    expect(chooseAddresses(peers, 'b', 64)).toEqual(['y:80', 'z:80']);
  });

  it('names all where one nearby would be alone', () => {
    expect(chooseAddresses(peers, 'a', 64)).toEqual(['x:80', 'y:80', 'z:80']);
  });
});
