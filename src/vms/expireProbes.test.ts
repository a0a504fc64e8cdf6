import { VirtualFleet } from '../../measurements/virtualFleet';
import type { VirtualVm } from '../../measurements/virtualVm';

function startFleet(nodes: number, seed: number, regions = 1): VirtualFleet {
  const network = new VirtualFleet({ nodes, seed, regions, lossRate: 0.01 });
  network.startAll();
  network.run(4000);
  return network;
}

/** Counts pairs of a running observer and a VM of `among` to which it assigns `status`. */
function countStatus(network: VirtualFleet, status: string, among: readonly VirtualVm[]): number {
  const ids = new Set(among.map(({ vm }) => vm.id));
  return network.vms
    .filter(({ isUp }) => isUp)
    .map(({ fleet }) => fleet.membership.members)
    .map((members) => members.count((member) => ids.has(member.id) && member.status === status))
    .reduce((sum, count) => sum + count, 0);
}

function watchDead(network: VirtualFleet): Set<string> {
  const dead = new Set<string>();
  network.onEffect = (_vm, effect) => {
    if (effect.type === 'log' && effect.message === 'VM dead') dead.add(String(effect.fields.vm));
  };
  return dead;
}

describe('expireProbes', () => {
  it('declares a crashed VM dead on every other VM, and no other VM', () => {
    const network = startFleet(8, 1);
    const dead = watchDead(network);
    const victim = network.vms.slice(3, 4);
    victim.forEach((virtual) => {
      network.kill(virtual);
    });
    network.run(2500);
    expect(countStatus(network, 'dead', victim)).toBe(7);
    expect([...dead]).toEqual(['vm-3']);
  });

  it('declares no other VM dead when a third of all VMs fails at once', () => {
    const network = startFleet(24, 2);
    const dead = watchDead(network);
    const victims = network.vms.filter((_, index) => index % 3 === 0);
    victims.forEach((virtual) => {
      network.kill(virtual);
    });
    network.run(6000);
    expect(countStatus(network, 'dead', victims)).toBe(16 * 8);
    expect(dead.size).toBe(8);
  });

  it('probes over other paths before it suspects: one-way failures between pairs make no VM dead', () => {
    const network = startFleet(12, 3);
    const dead = watchDead(network);
    network.isCut = (from, to) => (from.index + 1) % 12 === to.index;
    network.run(10_000);
    expect([...dead]).toEqual([]);
    expect(countStatus(network, 'alive', network.vms)).toBe(12 * 11);
  });

  it('finds its peers again after a partition between regions', () => {
    const network = startFleet(12, 4, 3);
    network.isCut = (from, to) => from.vm.region !== to.vm.region;
    network.run(30_000);
    expect(countStatus(network, 'dead', network.vms)).toBe(12 * 8);
    network.isCut = () => false;
    network.run(10_000);
    expect(countStatus(network, 'alive', network.vms)).toBe(12 * 11);
  });

  it('treats a replacement under the same id as a new incarnation', () => {
    const network = startFleet(8, 5);
    const [first] = network.vms.slice(5);
    if (first === undefined) throw new Error('No VM');
    network.kill(first);
    const next = network.add(first.index, 2);
    network.start(next);
    network.run(3000);
    for (const { fleet, index } of network.vms) {
      if (index === next.index) continue;
      const member = fleet.membership.members.get(next.vm.id);
      expect(member).toMatchObject({ incarnation: next.vm.incarnation, status: 'alive' });
    }
  });
});
