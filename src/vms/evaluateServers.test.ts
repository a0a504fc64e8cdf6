import { VirtualFleet } from '../../measurements/virtualFleet';
import type { VirtualVm } from '../../measurements/virtualVm';
import type { Change } from '../configuration/configuration';

/** Time after which a server that began to leave must get no new work on any VM, milliseconds. */
const BOUND_MS = 3000;

function serverOf(id: string, leaving = false): Change {
  const address = { host: '10.1.0.1', port: 9000 };
  const common = {
    id,
    kind: 'plain',
    failureDomain: 'nbo-a',
    address,
    checksFencing: false,
  } as const;
  return { type: 'put', kind: 'backendServer', key: id, value: { ...common, leaving } };
}

function startFleet(nodes: number, servers: number, seed = 31): VirtualFleet {
  const network = new VirtualFleet({ nodes, seed, lossRate: 0.01 });
  const ids = Array.from({ length: servers }, (_, index) => `s${index}`);
  for (const id of ids) network.servers.set(id, { isUp: true, state: 'live', incarnation: 'a' });
  network.commit(ids.map((id) => serverOf(id)));
  network.startAll();
  network.run(5000);
  return network;
}

function isUsable({ fleet }: VirtualVm, server: string): boolean {
  return fleet.servers.told.some((health) => health.server === server && health.isUsable);
}

function countUsing(network: VirtualFleet, server: string): number {
  return network.vms.filter((virtual) => virtual.isUp && isUsable(virtual, server)).length;
}

function setLeaving(network: VirtualFleet, server: string): void {
  const fake = network.servers.get(server);
  if (fake !== undefined) fake.state = 'leaving';
}

describe('evaluateServers', () => {
  it('reports every live server usable on every VM without interruption', () => {
    const network = startFleet(12, 20);
    let changes = 0;
    network.onEffect = (_vm, effect) => {
      if (effect.type === 'servers-changed') changes += 1;
    };
    network.run(20_000);
    expect(changes).toBe(0);
    expect(countUsing(network, 's7')).toBe(12);
  });

  it('stops new work on every VM within the bound when a server reports that it is leaving', () => {
    const network = startFleet(12, 20);
    setLeaving(network, 's7');
    network.run(BOUND_MS);
    expect(countUsing(network, 's7')).toBe(0);
    expect(countUsing(network, 's8')).toBe(12);
  });

  it('stops new work within the bound on VMs that are partitioned from all others and the server', () => {
    const network = startFleet(12, 20);
    const isFar = ({ index }: VirtualVm): boolean => index >= 9;
    network.isCut = (from, to) => isFar(from) !== isFar(to);
    network.isStoreCut = isFar;
    network.isServerCut = isFar;
    setLeaving(network, 's7');
    network.run(BOUND_MS);
    expect(countUsing(network, 's7')).toBe(0);
  });

  it('stops new work within the bound when the watchers fail at the same moment', () => {
    const network = startFleet(12, 20);
    const watchers = network.vms.filter(({ fleet }) => fleet.servers.watched.includes('s7'));
    expect(watchers).toHaveLength(2);
    watchers.forEach((virtual) => {
      network.kill(virtual);
    });
    setLeaving(network, 's7');
    network.run(BOUND_MS);
    expect(countUsing(network, 's7')).toBe(0);
  });

  it('keeps live servers usable when their watchers fail', () => {
    const network = startFleet(12, 20);
    const watchers = network.vms.filter(({ fleet }) => fleet.servers.watched.includes('s7'));
    let fewest = 10;
    network.onEffect = () => {
      fewest = Math.min(fewest, countUsing(network, 's7'));
    };
    watchers.forEach((virtual) => {
      network.kill(virtual);
    });
    network.run(6000);
    expect(fewest).toBe(10);
  });

  it('does not report a leaving server usable on a VM that resumes without a fresh report', () => {
    const network = startFleet(6, 4);
    const [paused] = network.vms;
    if (paused === undefined) throw new Error('No VM');
    network.pause(paused, 10_000);
    network.run(500);
    setLeaving(network, 's1');
    const wrong: number[] = [];
    network.onEffect = (virtual, effect) => {
      if (virtual !== paused || effect.type !== 'servers-changed') return;
      if (effect.servers.some(({ server, isUsable: usable }) => server === 's1' && usable)) {
        wrong.push(network.nowMs);
      }
    };
    network.run(15_000);
    expect(wrong).toEqual([]);
    expect(isUsable(paused, 's1')).toBe(false);
    expect(isUsable(paused, 's2')).toBe(true);
  });

  it('makes a server unusable that an applied revision marks as leaving', () => {
    const network = startFleet(6, 4);
    network.commit([serverOf('s1', true)], network.vms[2]);
    network.run(BOUND_MS);
    expect(countUsing(network, 's1')).toBe(0);
  });

  it('reports a restart on every VM and raises the weight of the server gradually', () => {
    const network = startFleet(6, 4);
    const crashed = new Set<string>();
    network.onEffect = ({ vm }, effect) => {
      if (effect.type === 'server-crashed') crashed.add(`${vm.id} ${effect.server}`);
    };
    network.servers.set('s1', { isUp: true, state: 'live', incarnation: 'b' });
    network.run(3000);
    expect(crashed.size).toBe(6);
    const weights = (): readonly number[] =>
      network.vms.flatMap(({ fleet }) =>
        fleet.servers.told.filter(({ server }) => server === 's1').map(({ weight }) => weight),
      );
    expect(Math.max(...weights())).toBeLessThan(0.5);
    network.run(12_000);
    expect(Math.min(...weights())).toBe(1);
  });

  it('ejects a failing server, but ignores ejections of more than half of a group', () => {
    const network = startFleet(1, 4);
    const [virtual] = network.vms;
    if (virtual === undefined) throw new Error('No VM');
    const fail = (server: string): void => {
      for (let time = 0; time < 5; time += 1) {
        network.deliver(virtual, { type: 'server-observed', server, observation: 'failed' });
      }
      network.run(200);
    };
    fail('s0');
    fail('s1');
    expect(virtual.fleet.servers.told.map(({ isUsable: usable }) => usable)).toEqual([
      false,
      false,
      true,
      true,
    ]);
    fail('s2');
    expect(virtual.fleet.servers.told.every(({ isUsable: usable }) => usable)).toBe(true);
    network.run(6000);
    expect(virtual.fleet.servers.told.every(({ isUsable: usable }) => usable)).toBe(true);
    expect(virtual.fleet.servers.told[0]?.weight).toBeLessThan(0.5);
  });
});
