import { chooseRelays, isRelayedFleet } from './chooseRelays';
import type { PeerRecord } from './peer';
import { createPeerRecord } from './testPeer';

const inB = (vm: string, cores = 0.3): PeerRecord =>
  createPeerRecord(vm, { failureDomain: 'b', cores });

const fleet = [1, 2, 3, 4, 5].flatMap((n) => [createPeerRecord(`a${n}`), inB(`b${n}`)]);

const names = (peers: readonly PeerRecord[], silent: readonly string[] = []): readonly string[] =>
  chooseRelays(peers, 'b', (vm) => silent.includes(vm)).map(({ vm }) => vm);

describe('chooseRelays', () => {
  it('takes two of the failure domain', () => {
    expect(names(fleet)).toEqual(['b1', 'b2']);
  });

  it('prefers VMs with more processor time', () => {
    expect(names([...fleet, inB('b9', 1.35)])).toEqual(['b9', 'b1']);
  });

  it('replaces relays that fell silent', () => {
    expect(names(fleet, ['b1', 'b2'])).toEqual(['b3', 'b4']);
  });

  it('keeps two where all fell silent', () => {
    expect(names(fleet, ['b1', 'b2', 'b3', 'b4', 'b5'])).toEqual(['b1', 'b2']);
  });
});

describe('isRelayedFleet', () => {
  it('leaves small fleets without relays', () => {
    expect(isRelayedFleet(8)).toBe(false);
    expect(isRelayedFleet(72)).toBe(true);
  });
});
