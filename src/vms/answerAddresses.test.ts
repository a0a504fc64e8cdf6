import { VirtualFleet } from '../../measurements/virtualFleet';
import type { VirtualVm } from '../../measurements/virtualVm';
import { answerAddresses } from './answerAddresses';

const CALLERS = 8000;

function startFleet(): { network: VirtualFleet; first: VirtualVm } {
  const network = new VirtualFleet({ nodes: 8, seed: 51 });
  network.startAll();
  network.run(3000);
  const [first] = network.vms;
  if (first === undefined) throw new Error('No VM');
  return { network, first };
}

/** Returns the first address of each caller's answer. */
function askAll({ fleet }: VirtualVm): readonly string[] {
  return Array.from({ length: CALLERS }, (_, index) => {
    const event = { type: 'addresses-asked', call: 'c', caller: `till-${index}` } as const;
    const [effect] = answerAddresses(fleet, { ...event, atMs: 0, seed: 0 }).effects;
    if (effect?.type !== 'answer-addresses') throw new Error('No answer');
    return effect.answer.addresses[0]?.host ?? '';
  });
}

describe('answerAddresses', () => {
  it('distributes callers evenly: no VM gets over 10 % more than its share of 8000', () => {
    const { first } = startFleet();
    const counts = new Map<string, number>();
    for (const host of askAll(first)) counts.set(host, (counts.get(host) ?? 0) + 1);
    expect(counts.size).toBe(8);
    expect(Math.max(...counts.values())).toBeLessThan((CALLERS / 8) * 1.1);
  });

  it('gives the same answer on every VM, also during a store outage', () => {
    const { network, first } = startFleet();
    network.isStoreUp = false;
    network.run(10_000);
    const answers = askAll(first);
    for (const other of network.vms.slice(1)) expect(askAll(other)).toEqual(answers);
  });

  it('moves only the callers of a VM that fails', () => {
    const { network, first } = startFleet();
    const before = askAll(first);
    const failed = network.vms.slice(5, 6);
    failed.forEach((virtual) => {
      network.kill(virtual);
    });
    network.run(3000);
    const after = askAll(first);
    const host = failed[0]?.vm.addresses.http.host;
    expect(after).not.toContain(host);
    const moved = before.filter((address, index) => address !== after[index]);
    expect(new Set(moved)).toEqual(new Set([host]));
  });
});
