import { rmSync } from 'node:fs';
import { dirname } from 'node:path';
import { bundleDaemon } from './bundleDaemon';
import { bundleProductionDaemon } from './bundleProductionDaemon';
import { FATAL_KINDS } from './createFatalCallers';
import { runFaultSoak } from './runFaultSoak';
import { SOAK_CASES } from './soakCases';

/** Limit for a run with its recovery. It only bounds the test; no expectation depends on it. */
const MAX_RUN_MS = 180_000;

describe('runFaultSoak', () => {
  it(
    'keeps every guarantee to callers while processes, links and the store fail (seed 1)',
    async () => {
      const program = await bundleDaemon();
      const run = await runFaultSoak({ seed: 1, faults: 6, program });
      rmSync(dirname(program), { recursive: true });
      expect(run.findings).toEqual([]);
      expect(run.served).toBeGreaterThan(0);
    },
    MAX_RUN_MS,
  );

  it.each([2, 3])(
    'keeps every guarantee while requests end the servers that run them (seed %d)',
    async (seed) => {
      const program = await bundleDaemon();
      const run = await runFaultSoak({ seed, faults: 6, program, fatalKinds: FATAL_KINDS });
      rmSync(dirname(program), { recursive: true });
      expect(run.findings).toEqual([]);
      expect(run.served).toBeGreaterThan(0);
    },
    MAX_RUN_MS,
  );

  it(
    'keeps every guarantee while servers announce limits and VMs are partitioned from them (seed 6)',
    async () => {
      const program = await bundleDaemon();
      const options = { seed: 6, faults: 6, hasLimits: true, hasPartitions: true };
      const run = await runFaultSoak({ ...options, program });
      rmSync(dirname(program), { recursive: true });
      expect(run.findings).toEqual([]);
      expect(run.served).toBeGreaterThan(0);
    },
    MAX_RUN_MS,
  );

  it(
    'keeps every guarantee while VMs change between this version and the one in production (seed 7)',
    async () => {
      const [program, otherProgram] = await Promise.all([bundleDaemon(), bundleProductionDaemon()]);
      const run = await runFaultSoak({ seed: 7, faults: 6, program, otherProgram });
      for (const path of [program, otherProgram]) rmSync(dirname(path), { recursive: true });
      expect(run.findings).toEqual([]);
      expect(run.served).toBeGreaterThan(0);
    },
    MAX_RUN_MS,
  );

  it.each(SOAK_CASES.filter(({ isInSuite }) => isInSuite))(
    'keeps every guarantee in a run that has failed (seed $seed, $faults faults)',
    async ({ seed, faults }) => {
      const program = await bundleDaemon();
      const run = await runFaultSoak({ seed, faults, program });
      rmSync(dirname(program), { recursive: true });
      expect(run.findings).toEqual([]);
      expect(run.served).toBeGreaterThan(0);
    },
    MAX_RUN_MS,
  );
});
