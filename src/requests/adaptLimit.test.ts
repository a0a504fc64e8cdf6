import { adaptLimit } from './adaptLimit';
import type { ModelLoad } from './admission';
import { createModelLoad } from './createModelLoad';
import { createRouter } from './createRouter';
import { planRouter } from './planRouter';
import type { Router } from './router';
import { testConfiguration } from './testFleet';

const MODEL = [...testConfiguration().model.keys()][0] ?? '';
const calm = { firstTokenMs: 1, tokenIntervalMs: 1 };

function planned(): Router {
  return planRouter({ ...createRouter(), configuration: testConfiguration() });
}

function loadAt(router: Router, limit: number, running: number): ModelLoad {
  return { ...createModelLoad(router, MODEL), limit, running };
}

describe('adaptLimit', () => {
  const router = planned();

  it('raises a limit that is used while callers see their targets met', () => {
    expect(adaptLimit(router, MODEL, loadAt(router, 20, 18), calm).limit).toBeGreaterThan(20);
  });

  it('leaves a limit that is not used', () => {
    expect(adaptLimit(router, MODEL, loadAt(router, 20, 5), calm).limit).toBe(20);
  });

  it('lowers it where tokens come late although first tokens do not', () => {
    const seen = { firstTokenMs: 1, tokenIntervalMs: 1000 };
    expect(adaptLimit(router, MODEL, loadAt(router, 20, 20), seen).limit).toBeCloseTo(17);
  });

  it('waits for the requests above a lowered limit to end before it lowers it again', () => {
    const seen = { firstTokenMs: 1, tokenIntervalMs: 1000 };
    expect(adaptLimit(router, MODEL, loadAt(router, 20, 25), seen).limit).toBe(20);
  });

  it('follows the plan at once when other VMs start to share the engines', () => {
    const load = loadAt(router, 40, 10);
    const shared = { ...router, acceptingVms: 2 };
    expect(adaptLimit(shared, MODEL, load, calm).limit).toBeCloseTo(20);
  });
});
