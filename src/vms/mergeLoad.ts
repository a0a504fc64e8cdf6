/** Merges a load report, from this VM's own poll or from a watcher. */

import type { LoadReport } from '../contracts/engineContract';
import type { Fleet, FleetDecision } from './fleet';
import { getServerRecord } from './getServerRecord';
import { withServer } from './withServer';

/**
 * Keeps the newest report and forwards it to the router.
 *
 * @param fleet the state
 * @param report the report
 * @param atMs now
 * @param ageMs age of the report
 */
export function mergeLoad(
  fleet: Fleet,
  report: LoadReport,
  atMs: number,
  ageMs: number,
): FleetDecision {
  const loadAtMs = atMs - ageMs;
  if (loadAtMs <= getServerRecord(fleet, report.engine).loadAtMs)
    return { state: fleet, effects: [] };
  const state = withServer(fleet, report.engine, { load: report, loadAtMs });
  if (state === fleet) return { state, effects: [] };
  return { state, effects: [{ type: 'load-learned', report, ageMs }] };
}
