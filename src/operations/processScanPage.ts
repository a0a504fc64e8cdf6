/** Searches one page of a VM's recorded results for the calls that wait for the scan. */

import type { ReadResult, Row } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import { queryStatus } from './queryStatus';
import { chain } from './chain';
import { formatOperationKey } from './formatOperationKey';
import type { CallResult } from './operationMessage';
import { MAX_SCAN_PAGES, SCAN_PAGE_ROWS } from './operationLimits';
import type { OperationsState, Scan } from './operationsState';
import { parseRow } from './parseRow';
import { readChunkPage } from './readChunkPage';
import { chunkSchema } from './recordedResult';
import { completeResolution } from './completeResolution';
import { step, type OperationsStep } from './step';

/** Answers the calls whose result was found, then reads the next page or ends the pass. */
export function processScanPage(
  state: OperationsState,
  prefix: string,
  result: ReadResult,
): OperationsStep {
  const scan = state.scans.get(prefix);
  if (scan === undefined) return step(state);
  const rows = result.type === 'rows' ? result.rows : [];
  const results = readResults(rows);
  const unresolved = scan.calls.filter((call) => findResult(state, results, call) === undefined);
  const last = rows.at(-1);
  const isLast = rows.length < SCAN_PAGE_ROWS || scan.pages + 1 >= MAX_SCAN_PAGES;
  const needsNextPage = unresolved.length > 0 && !isLast && last !== undefined;
  const next = { ...scan, calls: unresolved, pages: scan.pages + 1 };
  return chain(
    state,
    (after) => answerFound(after, scan, results),
    (after) =>
      needsNextPage
        ? readChunkPage(
            { ...after, scans: after.scans.set(prefix, next) },
            prefix,
            `${last.key}${NEXT_KEY_SUFFIX}`,
          )
        : endScan(after, prefix, next),
  );
}

/** Appended to the last key of a page, it gives the first key of the next page. */
const NEXT_KEY_SUFFIX = '\u0000';

type Results = ReadonlyMap<string, readonly [string, CallResult]>;

function readResults(rows: readonly Row[]): Results {
  const entries = rows.flatMap((row) => parseRow(row, chunkSchema) ?? []);
  return new Map(entries.map(([key, fingerprint, result]) => [key, [fingerprint, result]]));
}

function findResult(state: OperationsState, results: Results, id: CallId) {
  const call = state.resolutions.get(id)?.call;
  return call && results.get(formatOperationKey(call.workspace, call.operation ?? ''));
}

function answerFound(state: OperationsState, scan: Scan, results: Results): OperationsStep {
  const steps = scan.calls.map((call) => (next: OperationsState) => {
    const found = findResult(next, results, call);
    return found === undefined ? step(next) : completeResolution(next, call, ...found);
  });
  return chain(state, ...steps);
}

function endScan(state: OperationsState, prefix: string, scan: Scan): OperationsStep {
  const queries = scan.calls.map((call) => (next: OperationsState) => queryStatus(next, call));
  const scans = state.scans.delete(prefix);
  if (scan.next.length === 0) return chain({ ...state, scans }, ...queries);
  const following = { calls: scan.next, next: [], pages: 0 };
  const started = { ...state, scans: scans.set(prefix, following) };
  return chain(started, ...queries, (next) => readChunkPage(next, prefix, prefix));
}
