import type { PeerRecord } from './peer';
import { planHeartbeats } from './planHeartbeats';
import { createPeerRecord } from './testPeer';

const record = (vm: string): PeerRecord => createPeerRecord(vm, { failureDomain: vm.slice(0, 1) });

const fleet = (perDomain: number): readonly PeerRecord[] =>
  ['a', 'b', 'c'].flatMap((domain) =>
    Array.from({ length: perDomain }, (_, index) => record(`${domain}${index + 1}`)),
  );

const targets = (self: string, peers: readonly PeerRecord[], silent: readonly string[] = []) =>
  planHeartbeats(record(self), peers, (vm) => silent.includes(vm)).map(
    ({ peer, scope }) => `${peer.vm} ${scope}`,
  );

describe('planHeartbeats', () => {
  it('sends to all VMs in a small fleet', () => {
    expect(targets('a1', fleet(2))).toEqual(
      ['a2', 'b1', 'b2', 'c1', 'c2'].map((vm) => `${vm} none`),
    );
  });

  it('sends to the relays of its domain in a large fleet', () => {
    expect(targets('a5', fleet(6))).toEqual(['a1 none', 'a2 none']);
  });

  it('sends all digests from a relay to its domain, and its own digest to other relays', () => {
    expect(targets('a1', fleet(6))).toEqual([
      'a2 none',
      ...['a3', 'a4', 'a5', 'a6'].map((vm) => `${vm} all`),
      ...['b1', 'b2', 'c1', 'c2'].map((vm) => `${vm} own`),
    ]);
  });

  it('sends to the domain from the first relay with each heartbeat, from the second with every third', () => {
    const beatsOf = (self: string, silent: readonly string[] = []) =>
      planHeartbeats(record(self), fleet(6), (vm) => silent.includes(vm))
        .filter(({ scope }) => scope === 'all')
        .map(({ beats }) => beats);
    expect(beatsOf('a1')).toEqual([1, 1, 1, 1]);
    expect(beatsOf('a2')).toEqual([3, 3, 3, 3]);
    expect(beatsOf('a2', ['a1'])).toEqual([1, 1, 1, 1]);
  });

  it('replaces both relays when they are silent', () => {
    expect(targets('a5', fleet(6), ['a1', 'a2'])).toEqual(['a3 none', 'a4 none']);
    expect(targets('a3', fleet(6), ['a1', 'a2'])).toContain('a5 all');
  });

  it('sends a number of datagrams in proportion to the fleet', () => {
    const sent = (perDomain: number): number =>
      fleet(perDomain).reduce((sum, { vm }) => sum + targets(vm, fleet(perDomain)).length, 0);
    expect(sent(40)).toBe(486);
    expect(sent(80)).toBe(966);
  });
});
