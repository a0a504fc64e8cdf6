import { VirtualFleet } from '../../measurements/virtualFleet';
import type { VirtualVm } from '../../measurements/virtualVm';

interface Watch {
  readonly accepted: [number, string][];
  readonly pending: (readonly string[])[];
}

function startFleet(nodes: number): { network: VirtualFleet; watch: Watch } {
  const network = new VirtualFleet({ nodes, seed: 21 });
  network.startAll();
  network.run(3000);
  const watch: Watch = { accepted: [], pending: [] };
  network.onEffect = ({ vm }, effect) => {
    if (effect.type === 'configuration-accepted') watch.accepted.push([network.nowMs, vm.id]);
    if (effect.type === 'configuration-pending') watch.pending.push(effect.waitsFor);
  };
  return { network, watch };
}

function revisionsOf(vms: readonly VirtualVm[]): readonly number[] {
  return vms.map(({ fleet }) => fleet.configuration.applied.revision);
}

describe('trackAcceptance', () => {
  it('reports acceptance on no VM before every VM has applied the revision', () => {
    const { network, watch } = startFleet(8);
    const early: string[] = [];
    const { onEffect } = network;
    network.onEffect = (virtual, effect) => {
      onEffect(virtual, effect);
      if (effect.type !== 'configuration-accepted') return;
      if (revisionsOf(network.vms).some((applied) => applied < effect.revision))
        early.push(virtual.vm.id);
    };
    network.commit([], network.vms[0]);
    network.run(3000);
    expect(early).toEqual([]);
    expect(watch.accepted).toHaveLength(8);
  });

  it('waits for VMs that are partitioned together, and names them', () => {
    const { network, watch } = startFleet(6);
    const isFar = ({ index }: VirtualVm): boolean => index >= 4;
    network.isCut = (from, to) => isFar(from) !== isFar(to);
    network.isStoreCut = isFar;
    network.run(5000);
    network.commit([], network.vms[0]);
    network.run(20_000);
    expect(watch.accepted).toEqual([]);
    expect(watch.pending.at(-1)).toEqual(['vm-4', 'vm-5']);
    network.isCut = () => false;
    network.isStoreCut = () => false;
    network.run(10_000);
    expect(watch.accepted).toHaveLength(6);
    expect(revisionsOf(network.vms)).toEqual([1, 1, 1, 1, 1, 1]);
  });

  it('stops waiting for VMs that the platform removed from its list', () => {
    const { network, watch } = startFleet(6);
    network.vms.slice(4).forEach((virtual) => {
      network.kill(virtual);
    });
    network.commit([], network.vms[0]);
    network.run(10_000);
    expect(watch.accepted).toHaveLength(4);
  });

  it('does not wait for a single isolated VM, which refuses new requests', () => {
    const { network, watch } = startFleet(6);
    const alone = network.vms[5];
    network.isCut = (from, to) => from === alone || to === alone;
    network.isStoreCut = (from) => from === alone;
    network.commit([], network.vms[0]);
    network.run(12_000);
    expect(alone?.fleet.availability.isAccepting).toBe(false);
    expect(watch.accepted).toHaveLength(5);
  });

  it('spreads a revision among peers while the store is down', () => {
    const { network, watch } = startFleet(8);
    network.commit([], network.vms[0]);
    network.run(50);
    network.isStoreUp = false;
    network.run(4000);
    expect(watch.accepted).toHaveLength(8);
  });
});
