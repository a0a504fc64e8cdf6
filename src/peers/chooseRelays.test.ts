import { chooseRelays, isRelayedFleet } from './chooseRelays';
import type { PeerRecord } from './peer';
import { createPeerRecord } from './testPeer';

const inB = (vm: string, cores = 0.3): PeerRecord =>
  createPeerRecord(vm, { failureDomain: 'b', cores });

const fleet = [1, 2, 3, 4, 5].flatMap((n) => [createPeerRecord(`a${n}`), inB(`b${n}`)]);

const names = (peers: readonly PeerRecord[], silent: readonly string[] = []): readonly string[] =>
  chooseRelays(peers, 'b', (vm) => silent.includes(vm)).map(({ vm }) => vm);

describe('chooseRelays', () => {
  it('chooses two VMs of the failure domain', () => {
    expect(names(fleet)).toEqual(['b1', 'b2']);
  });

  it('prefers VMs with more processor time', () => {
    expect(names([...fleet, inB('b9', 1.35)])).toEqual(['b9', 'b1']);
  });

  it('replaces silent relays', () => {
    expect(names(fleet, ['b1', 'b2'])).toEqual(['b3', 'b4']);
  });

  it('still chooses two when all VMs are silent', () => {
    expect(names(fleet, ['b1', 'b2', 'b3', 'b4', 'b5'])).toEqual(['b1', 'b2']);
  });
});

describe('isRelayedFleet', () => {
  it('uses relays only in large fleets', () => {
    expect(isRelayedFleet(8)).toBe(false);
    expect(isRelayedFleet(72)).toBe(true);
  });
});
