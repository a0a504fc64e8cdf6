import { VirtualFleet } from '../../measurements/virtualFleet';
import type { WorkspaceUsage } from '../requests/routerMessage';

function usageOf(workspace: string, tokensPerSecond: number): WorkspaceUsage {
  return { workspace, tokensPerSecond, requestsPerSecond: 1, running: 2, ageMs: 0 };
}

describe('shareUsage', () => {
  it('gives each VM the sum of the usage of the others', () => {
    const network = new VirtualFleet({ nodes: 5, seed: 61 });
    network.startAll();
    network.run(3000);
    const sums = new Map<string, number>();
    network.onEffect = ({ vm }, effect) => {
      if (effect.type !== 'use-learned') return;
      expect(effect.acceptingVms).toBe(5);
      for (const use of effect.usage) sums.set(`${vm.id} ${use.workspace}`, use.tokensPerSecond);
    };
    for (let second = 0; second < 6; second += 1) {
      for (const virtual of network.vms) {
        const tokens = 100 * (virtual.index + 1);
        network.deliver(virtual, { type: 'use-shared', usage: [usageOf('w1', tokens)] });
      }
      network.run(1000);
    }
    const others = network.vms.map(({ vm }) => sums.get(`${vm.id} w1`));
    expect(others).toEqual([1400, 1300, 1200, 1100, 1000]);
  });
});
