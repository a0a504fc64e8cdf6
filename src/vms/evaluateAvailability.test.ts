import { VirtualFleet } from '../../measurements/virtualFleet';
import type { VirtualVm } from '../../measurements/virtualVm';

function startFleet(nodes: number, isStoreUp = true): VirtualFleet {
  const network = new VirtualFleet({ nodes, seed: 7 });
  network.isStoreUp = isStoreUp;
  network.startAll();
  network.run(3000);
  return network;
}

function first(network: VirtualFleet): VirtualVm {
  const [virtual] = network.vms;
  if (virtual === undefined) throw new Error('No VM');
  return virtual;
}

function isolate(network: VirtualFleet, alone: VirtualVm): void {
  network.isCut = (from, to) => from === alone || to === alone;
}

describe('evaluateAvailability', () => {
  it('refuses new requests within 3 s of isolation, and accepts them again afterwards', () => {
    const network = startFleet(6);
    const alone = first(network);
    isolate(network, alone);
    network.isStoreCut = (from) => from === alone;
    network.run(3000);
    expect(alone.fleet.availability).toMatchObject({
      isAccepting: false,
      reason: 'no word from the store or any peer',
    });
    expect(network.vms.filter(({ fleet }) => fleet.availability.isAccepting)).toHaveLength(5);
    network.isCut = () => false;
    network.isStoreCut = () => false;
    network.run(3000);
    expect(alone.fleet.availability.isAccepting).toBe(true);
  });

  it('keeps accepting requests during a store outage while a peer is reachable', () => {
    const network = startFleet(3);
    network.isStoreUp = false;
    network.run(30_000);
    expect(network.vms.every(({ fleet }) => fleet.availability.isAccepting)).toBe(true);
  });

  it('keeps accepting requests without peers while the store is reachable', () => {
    const network = startFleet(2);
    const alone = first(network);
    isolate(network, alone);
    network.run(30_000);
    expect(alone.fleet.availability.isAccepting).toBe(true);
  });

  it('accepts requests after isolation only once it has applied the current revision', () => {
    const network = startFleet(6);
    const alone = first(network);
    isolate(network, alone);
    network.isStoreCut = (from) => from === alone;
    network.run(4000);
    const revision = network.commit([], network.vms[3]);
    network.run(4000);
    const wrong: number[] = [];
    network.onEffect = (virtual, effect) => {
      if (virtual !== alone || effect.type !== 'accepting-changed' || !effect.isAccepting) return;
      if (alone.fleet.configuration.applied.revision < revision) wrong.push(network.nowMs);
    };
    network.isCut = () => false;
    network.isStoreCut = () => false;
    network.run(3000);
    expect(wrong).toEqual([]);
    expect(alone.fleet.availability.isAccepting).toBe(true);
    expect(alone.fleet.configuration.applied.revision).toBe(revision);
  });

  it('starts within 2 s from peers alone while the store is down', () => {
    const network = startFleet(6);
    network.commit([], network.vms[1]);
    network.run(2000);
    network.isStoreUp = false;
    const fresh = network.add(6, 1);
    network.start(fresh);
    network.run(2000);
    expect(fresh.fleet.availability.isAccepting).toBe(true);
    expect(fresh.fleet.configuration.applied.revision).toBe(1);
    expect(fresh.fleet.membership.members.size).toBe(6);
  });

  it('does not accept requests with neither store nor peers', () => {
    const network = startFleet(1, false);
    network.run(10_000);
    expect(first(network).fleet.availability.isAccepting).toBe(false);
  });

  it('refuses requests when its id runs elsewhere under a higher incarnation', () => {
    const network = startFleet(4);
    const old = first(network);
    const next = { ...old.vm, incarnation: old.vm.incarnation + 1 };
    network.deliver(old, {
      type: 'datagram-received',
      from: next.addresses.gossip,
      body: { v: 1, k: 'news', n: 0, e: [next.id, next.incarnation, 0, 0, 2, 0], h: 0 },
    });
    network.run(200);
    expect(old.fleet.availability.isAccepting).toBe(false);
  });
});
