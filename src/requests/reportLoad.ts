/** Takes an engine's load report in; an older one than the last changes nothing. */

import { changeEngineUse } from './changeEngineUse';
import type { Router } from './router';
import type { RouterEvent } from './routerMessage';

type LoadReported = Extract<RouterEvent, { readonly type: 'load-reported' }>;

/** @returns the router with the report noted on its engine, if that is configured */
export function reportLoad(router: Router, { report, ageMs, atMs }: LoadReported): Router {
  const { engine, sequence, running, queued, stepMicros } = report;
  const configured = router.configuration.engine.get(engine);
  if (configured === undefined) return router;
  const stage = { engine, layers: configured.layers };
  const engines = changeEngineUse(router.engines, [stage], (use) => {
    if (use.report !== undefined && use.report.sequence >= sequence) return use;
    const madeAtMs = atMs - ageMs;
    const seen = { sequence, running, queued, stepMicros, madeAtMs, ownRunning: use.running };
    return { ...use, report: seen };
  });
  return engines === router.engines ? router : { ...router, engines };
}
