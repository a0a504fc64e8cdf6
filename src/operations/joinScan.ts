/** Scans the results that a VM recorded; calls that look for results of the same VM share one pass. */

import type { CallId } from '../decisions/primitive';
import type { OperationsState } from './operationsState';
import { readChunkPage } from './readChunkPage';
import { step, type OperationsStep } from './step';

/** Starts a pass for the call, or queues the call for the next pass if one is running. */
export function joinScan(state: OperationsState, prefix: string, call: CallId): OperationsStep {
  const scan = state.scans.get(prefix);
  if (scan !== undefined) {
    const waiting = { ...scan, next: [...scan.next, call] };
    return step({ ...state, scans: state.scans.set(prefix, waiting) });
  }
  const started = { calls: [call], next: [], pages: 0 };
  return readChunkPage({ ...state, scans: state.scans.set(prefix, started) }, prefix, prefix);
}
