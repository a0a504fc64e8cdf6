import { rmSync } from 'node:fs';
import { dirname } from 'node:path';
import { bundleDaemon } from './bundleDaemon';
import { runFaultSoak } from './runFaultSoak';

/** Longest time for a run with its recovery, milliseconds; no verdict depends on it. */
const RUN_MS = 180_000;

describe('runFaultSoak', () => {
  it(
    'breaks no promise while processes, links and the store fail (seed 1)',
    async () => {
      const program = await bundleDaemon();
      const run = await runFaultSoak({ seed: 1, faults: 6, program });
      rmSync(dirname(program), { recursive: true });
      expect(run.findings).toEqual([]);
      expect(run.served).toBeGreaterThan(0);
    },
    RUN_MS,
  );
});
