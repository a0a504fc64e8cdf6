import { VirtualFleet } from '../../measurements/virtualFleet';
import type { Change } from '../configuration/configuration';
import type { FleetEffect } from './fleetMessage';
import { isLive } from './isLive';

const SERVER: Change = {
  type: 'put',
  kind: 'backendServer',
  key: 'engine-1',
  value: {
    id: 'engine-1',
    kind: 'engine',
    failureDomain: 'nbo-a',
    address: { host: '10.1.0.1', port: 9000 },
    checksFencing: true,
    leaving: false,
  },
};

function startFleet(nodes: number, seed = 1): VirtualFleet {
  const fleet = new VirtualFleet({ nodes, seed });
  fleet.startAll();
  fleet.run(3000);
  return fleet;
}

describe('reduceFleet', () => {
  it('discovers all VMs from the seeds and accepts new requests', () => {
    const { vms } = startFleet(8);
    for (const { fleet } of vms) {
      expect(fleet.membership.members.count(isLive)).toBe(7);
      expect(fleet.availability).toMatchObject({ isAccepting: true, reason: '' });
    }
  });

  it('applies a committed revision and reports it accepted on every VM', () => {
    const network = startFleet(8);
    const accepted = new Map<string, number>();
    network.onEffect = ({ vm }, effect) => {
      if (effect.type === 'configuration-accepted') accepted.set(vm.id, effect.revision);
    };
    network.servers.set('engine-1', { isUp: true, state: 'live', incarnation: 'a' });
    network.commit([SERVER], network.vms[3]);
    network.run(3000);
    expect([...accepted.values()]).toEqual(Array.from({ length: 8 }, () => 1));
    for (const { fleet } of network.vms) {
      expect(fleet.servers.told).toEqual([{ server: 'engine-1', isUsable: true, weight: 1 }]);
    }
  });

  it('answers with addresses, and completes a drain once they have expired and no work remains', () => {
    const network = startFleet(4);
    const effects: FleetEffect[] = [];
    network.onEffect = (_vm, effect) => effects.push(effect);
    const [first, second] = network.vms;
    if (first === undefined || second === undefined) throw new Error('No VMs');
    network.deliver(first, { type: 'drain-started' });
    network.run(500);
    // A count taken while the VM refused requests for another reason must not complete the drain later.
    network.pause(first, 3000);
    network.run(3000);
    network.deliver(first, { type: 'work-counted', running: 0 });
    network.run(1000);
    network.deliver(second, { type: 'addresses-asked', call: 'a1', caller: 'till-7' });
    const answer = effects.find((effect) => effect.type === 'answer-addresses');
    expect(answer?.answer.addresses).toHaveLength(3);
    expect(answer?.answer.addresses).not.toContainEqual(first.vm.addresses.http);
    expect(first.fleet.availability.isAccepting).toBe(true);
    network.run(10_000);
    expect(first.fleet.availability).toMatchObject({ isAccepting: false, reason: 'draining' });
    expect(effects.some((effect) => effect.type === 'drained')).toBe(false);
    network.deliver(first, { type: 'work-counted', running: 0 });
    expect(effects.some((effect) => effect.type === 'drained')).toBe(true);
  });
});
