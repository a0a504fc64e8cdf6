/** Looks through one page of a home's recorded results for the calls that wait for it. */

import type { ReadResult, Row } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import { askStatus } from './askStatus';
import { chain } from './chain';
import { nameOperation } from './nameOperation';
import type { CallResult } from './operationMessage';
import { MAX_SCAN_PAGES, SCAN_PAGE_ROWS } from './operationLimits';
import type { OperationsState, Scan } from './operationsState';
import { parseRow } from './parseRow';
import { readChunks } from './readChunks';
import { chunkSchema } from './recordedResult';
import { settleResolution } from './settleResolution';
import { step, type OperationsStep } from './step';

/** Answers what was found, goes on to the next page, or ends the pass. */
export function finishScanPage(
  state: OperationsState,
  prefix: string,
  result: ReadResult,
): OperationsStep {
  const scan = state.scans.get(prefix);
  if (scan === undefined) return step(state);
  const rows = result.type === 'rows' ? result.rows : [];
  const results = readResults(rows);
  const open = scan.calls.filter((call) => findResult(state, results, call) === undefined);
  const last = rows.at(-1);
  const isLast = rows.length < SCAN_PAGE_ROWS || scan.pages + 1 >= MAX_SCAN_PAGES;
  const goesOn = open.length > 0 && !isLast && last !== undefined;
  const next = { ...scan, calls: open, pages: scan.pages + 1 };
  return chain(
    state,
    (after) => answerFound(after, scan, results),
    (after) =>
      goesOn
        ? readChunks(
            { ...after, scans: after.scans.set(prefix, next) },
            prefix,
            `${last.key}${AFTER_KEY}`,
          )
        : endScan(after, prefix, next),
  );
}

/** Makes a key the next one after a row's. */
const AFTER_KEY = '\u0000';

type Results = ReadonlyMap<string, readonly [string, CallResult]>;

function readResults(rows: readonly Row[]): Results {
  const entries = rows.flatMap((row) => parseRow(row, chunkSchema) ?? []);
  return new Map(entries.map(([key, fingerprint, result]) => [key, [fingerprint, result]]));
}

function findResult(state: OperationsState, results: Results, id: CallId) {
  const call = state.resolutions.get(id)?.call;
  return call && results.get(nameOperation(call.workspace, call.operation ?? ''));
}

function answerFound(state: OperationsState, scan: Scan, results: Results): OperationsStep {
  const steps = scan.calls.map((call) => (next: OperationsState) => {
    const found = findResult(next, results, call);
    return found === undefined ? step(next) : settleResolution(next, call, ...found);
  });
  return chain(state, ...steps);
}

function endScan(state: OperationsState, prefix: string, scan: Scan): OperationsStep {
  const asks = scan.calls.map((call) => (next: OperationsState) => askStatus(next, call));
  const scans = state.scans.delete(prefix);
  if (scan.next.length === 0) return chain({ ...state, scans }, ...asks);
  const again = { calls: scan.next, next: [], pages: 0 };
  const started = { ...state, scans: scans.set(prefix, again) };
  return chain(started, ...asks, (next) => readChunks(next, prefix, prefix));
}
