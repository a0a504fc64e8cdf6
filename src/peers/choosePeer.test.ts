import { choosePeer } from './choosePeer';
import { createPeerRecord } from './testPeer';

const peers = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map((vm) => createPeerRecord(vm));

const choose = (random: number, except: readonly string[]): string | undefined =>
  choosePeer(peers, { self: 'vm-2', except: new Set(except), random })?.vm;

describe('choosePeer', () => {
  it('spreads requests over the other VMs', () => {
    expect([0, 0.4, 0.99].map((random) => choose(random, []))).toEqual(['vm-1', 'vm-3', 'vm-4']);
  });

  it('leaves out VMs that have had the request', () => {
    expect([0, 0.99].map((random) => choose(random, ['vm-1']))).toEqual(['vm-3', 'vm-4']);
    expect(choose(0, ['vm-1', 'vm-3', 'vm-4'])).toBeUndefined();
  });
});
