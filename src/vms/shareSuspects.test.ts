import { VirtualFleet } from '../../measurements/virtualFleet';

describe('shareSuspects', () => {
  it('shares a suspect content and its age with every other VM within 2 s', () => {
    const network = new VirtualFleet({ nodes: 8, seed: 71, lossRate: 0.01 });
    network.startAll();
    network.run(3000);
    const ages = new Map<string, number>();
    network.onEffect = ({ vm }, effect) => {
      if (effect.type === 'suspects-learned') ages.set(vm.id, effect.suspects[0]?.ageMs ?? 0);
    };
    const suspect = { fingerprint: 'f1', crashes: 2, designated: 'engine-3', ageMs: 5000 };
    const [first] = network.vms;
    if (first === undefined) throw new Error('No VM');
    network.deliver(first, { type: 'suspects-shared', suspects: [suspect] });
    network.run(2000);
    expect(ages.size).toBe(7);
    expect(Math.min(...ages.values())).toBeGreaterThanOrEqual(5000);
    expect(Math.max(...ages.values())).toBeLessThan(7000);
  });

  it('counts crashes of two servers observed by two VMs as two crashes on every VM', () => {
    const network = new VirtualFleet({ nodes: 8, seed: 72 });
    network.startAll();
    network.run(3000);
    const crashes = new Map<string, number>();
    network.onEffect = ({ vm }, effect) => {
      if (effect.type !== 'suspects-learned') return;
      for (const item of effect.suspects) crashes.set(vm.id, item.crashes);
    };
    for (const [index, server] of ['engine-1', 'engine-2'].entries()) {
      const vm = network.vms[index];
      if (vm === undefined) throw new Error('No VM');
      const suspect = { fingerprint: 'f1', crashes: 1, servers: [server], ageMs: 0 };
      network.deliver(vm, { type: 'suspects-shared', suspects: [suspect] });
    }
    network.run(2000);
    expect([...crashes.values()]).toEqual(Array.from({ length: 8 }, () => 2));
  });
});
