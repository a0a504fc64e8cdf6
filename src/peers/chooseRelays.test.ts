import { chooseRelays, isRelayedFleet } from './chooseRelays';
import type { PeerRecord } from './peer';

const record = (vm: string, failureDomain: string, cores = 0.3): PeerRecord => ({
  vm,
  incarnation: `${vm}-1`,
  callerAddress: `${vm}:80`,
  peerAddress: `${vm}:70`,
  tableAddress: `${vm}:71`,
  failureDomain,
  cores,
});

const fleet = [1, 2, 3, 4, 5].flatMap((n) => [record(`a${n}`, 'a'), record(`b${n}`, 'b')]);

const names = (peers: readonly PeerRecord[], silent: readonly string[] = []): readonly string[] =>
  chooseRelays(peers, 'b', (vm) => silent.includes(vm)).map(({ vm }) => vm);

describe('chooseRelays', () => {
  it('takes two of the failure domain', () => {
    expect(names(fleet)).toEqual(['b1', 'b2']);
  });

  it('prefers VMs with more processor time', () => {
    expect(names([...fleet, record('b9', 'b', 1.35)])).toEqual(['b9', 'b1']);
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
