/** Reads the rows that a home has recorded; calls for the same home share one pass. */

import type { CallId } from '../decisions/primitive';
import type { OperationsState } from './operationsState';
import { readChunks } from './readChunks';
import { step, type OperationsStep } from './step';

/** Starts a pass for the call, or has it wait for the next one. */
export function joinScan(state: OperationsState, prefix: string, call: CallId): OperationsStep {
  const scan = state.scans.get(prefix);
  if (scan !== undefined) {
    const waiting = { ...scan, next: [...scan.next, call] };
    return step({ ...state, scans: state.scans.set(prefix, waiting) });
  }
  const started = { calls: [call], next: [], pages: 0 };
  return readChunks({ ...state, scans: state.scans.set(prefix, started) }, prefix, prefix);
}
