/** Records the load report of an engine; ignores reports that are not newer than the last one. */

import { updateEngineLoads } from './updateEngineLoads';
import type { Router } from './router';
import type { RouterEvent } from './routerMessage';

type LoadReported = Extract<RouterEvent, { readonly type: 'load-reported' }>;

/** @returns the router with the report recorded, if its engine is configured */
export function recordLoadReport(router: Router, { report, ageMs, atMs }: LoadReported): Router {
  const { engine, sequence, running, queued, stepMicros } = report;
  const configured = router.configuration.engine.get(engine);
  if (configured === undefined) return router;
  const stage = { engine, layers: configured.layers };
  const engineLoads = updateEngineLoads(router.engineLoads, [stage], (load) => {
    if (load.report !== undefined && load.report.sequence >= sequence) return load;
    const reportedAtMs = atMs - ageMs;
    const received = {
      sequence,
      running,
      queued,
      stepMicros,
      reportedAtMs,
      ownRunning: load.running,
    };
    return { ...load, report: received };
  });
  return engineLoads === router.engineLoads ? router : { ...router, engineLoads };
}
