/**
 * Asks engines for their reports when requests met trouble. Requests that wait for the same engine
 * share one question, and a suspected engine is asked again until it answers.
 */

import type { BackendProtocol, ReportResult } from './backendProtocol';
import type { LogFields } from './job';
import type { ServerBoard } from './createServerBoard';

export interface ServerProbes {
  /** Asks one server and updates the board by what it says. */
  readonly ask: (id: string) => Promise<ReportResult>;
  /** Asks every suspected server again. */
  readonly recheck: () => void;
}

export interface ServerProbeOptions {
  readonly board: ServerBoard;
  readonly protocol: BackendProtocol;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time for which one answer serves all who ask, milliseconds; reports lag by more. */
const SHARED_MS = 100;

/** Creates the probes. */
export function createServerProbes(options: ServerProbeOptions): ServerProbes {
  const { board, protocol, now, log } = options;
  const asked = new Map<
    string,
    { readonly atMs: number; readonly result: Promise<ReportResult> }
  >();
  const fetch = async (id: string): Promise<ReportResult> => {
    const server = board.find(id);
    if (server === undefined) return { type: 'failed', detail: 'not listed' };
    const result = await protocol.fetchReport(server.address);
    if (result.type === 'report') {
      const { pace, queued, running, memoryShare } = result.report;
      board.notePace(id, pace);
      log('engine reports', { server: id, pace, queued, running, memoryShare });
      const isSame = server.bornMs === 0 || result.report.bornMs === server.bornMs;
      if (isSame) board.clear(id);
      else board.suspect(id, 'restarted');
    } else if (result.type !== 'failed') board.suspect(id, result.type);
    return result;
  };
  const ask = (id: string): Promise<ReportResult> => {
    const known = asked.get(id);
    if (known !== undefined && now() - known.atMs < SHARED_MS) return known.result;
    const result = fetch(id);
    asked.set(id, { atMs: now(), result });
    return result;
  };
  return {
    ask,
    recheck: () => {
      for (const { id } of board.suspicions()) void ask(id);
      for (const [id, { atMs }] of asked) if (now() - atMs > SHARED_MS) asked.delete(id);
    },
  };
}
