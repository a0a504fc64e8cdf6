import { adaptLimit } from './adaptLimit';
import type { ModelLoad } from './admission';
import { createModelLoad } from './createModelLoad';
import { createRouter } from './createRouter';
import { replanPipelines } from './replanPipelines';
import type { Router } from './router';
import { testConfiguration } from './testFleet';

const MODEL = [...testConfiguration().model.keys()][0] ?? '';
const onTarget = { firstTokenMs: 1, tokenIntervalMs: 1 };

function createPlannedRouter(): Router {
  return replanPipelines({ ...createRouter(), configuration: testConfiguration() });
}

function createLoad(router: Router, limit: number, running: number): ModelLoad {
  return { ...createModelLoad(router, MODEL), limit, running };
}

describe('adaptLimit', () => {
  const router = createPlannedRouter();

  it('raises a limit in use while latencies meet their targets', () => {
    expect(adaptLimit(router, MODEL, createLoad(router, 20, 18), onTarget).limit).toBeGreaterThan(
      20,
    );
  });

  it('keeps an underused limit', () => {
    expect(adaptLimit(router, MODEL, createLoad(router, 20, 5), onTarget).limit).toBe(20);
  });

  it('lowers the limit when only the token interval misses its target', () => {
    const observed = { firstTokenMs: 1, tokenIntervalMs: 1000 };
    expect(adaptLimit(router, MODEL, createLoad(router, 20, 20), observed).limit).toBeCloseTo(17);
  });

  it('does not lower the limit again while more requests than the limit are running', () => {
    const observed = { firstTokenMs: 1, tokenIntervalMs: 1000 };
    expect(adaptLimit(router, MODEL, createLoad(router, 20, 25), observed).limit).toBe(20);
  });

  it('scales with the plan when other VMs start to share the engines', () => {
    const load = createLoad(router, 40, 10);
    const shared = { ...router, acceptingVms: 2 };
    expect(adaptLimit(shared, MODEL, load, onTarget).limit).toBeCloseTo(20);
  });
});
