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
  /**
   * Asks the servers that have said nothing of themselves lately.
   *
   * @returns whether there were any
   */
  readonly askUnknown: (ids: readonly string[]) => Promise<boolean>;
  /** Asks every suspected server again that was not asked for so long, milliseconds. */
  readonly recheck: (intervalMs: number) => void;
}

export interface ServerProbeOptions {
  readonly board: ServerBoard;
  readonly protocol: BackendProtocol;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time for which a report serves all who ask, milliseconds: while chains stall, all streams ask. */
const REPORT_SHARED_MS = 400;

/** Time for which a question that had no answer serves all who ask, milliseconds. */
const SILENCE_SHARED_MS = 100;

/** Pace and memory from which a report is logged: it may be why a request was turned away. */
const SLOW_PACE = 1.5;
const CROWDED_SHARE = 0.8;

/** Time for which an answer is remembered, milliseconds: longer than any interval of rechecks. */
const REMEMBERED_MS = 5_000;

interface Question {
  readonly atMs: number;
  /** Time for which nobody else has to ask, milliseconds. */
  readonly sharedMs: number;
  readonly result: Promise<ReportResult>;
}

/** Creates the probes. */
export function createServerProbes(options: ServerProbeOptions): ServerProbes {
  const { board, protocol, now, log } = options;
  const asked = new Map<string, Question>();
  const fetch = async (id: string): Promise<ReportResult> => {
    const server = board.find(id);
    if (server === undefined) return { type: 'failed', detail: 'not listed' };
    const result = await protocol.fetchReport(server.address);
    if (result.type === 'report') {
      const { pace, queued, running, memoryShare } = result.report;
      board.noteReport(id, { pace, memoryShare });
      if (pace >= SLOW_PACE || memoryShare >= CROWDED_SHARE) {
        log('engine reports', { server: id, pace, queued, running, memoryShare });
      }
      const isSame = server.bornMs === 0 || result.report.bornMs === server.bornMs;
      if (isSame) board.clear(id);
      else board.suspect(id, 'restarted');
    } else if (result.type !== 'failed') board.suspect(id, result.type);
    return result;
  };
  const ask = (id: string): Promise<ReportResult> => {
    const known = asked.get(id);
    if (known !== undefined && now() - known.atMs < known.sharedMs) return known.result;
    const result = fetch(id);
    const question = { atMs: now(), sharedMs: SILENCE_SHARED_MS, result };
    asked.set(id, question);
    void result.then(({ type }) => {
      if (type === 'report') asked.set(id, { ...question, sharedMs: REPORT_SHARED_MS });
    });
    return result;
  };
  return {
    ask,
    askUnknown: async (ids) => {
      const unknown = ids.filter((id) => !board.hasReport(id));
      await Promise.all(unknown.map(ask));
      return unknown.length > 0;
    },
    recheck: (intervalMs) => {
      for (const { id } of board.suspicions()) {
        if (now() - (asked.get(id)?.atMs ?? Number.NEGATIVE_INFINITY) >= intervalMs) void ask(id);
      }
      for (const [id, { atMs }] of asked) if (now() - atMs > REMEMBERED_MS) asked.delete(id);
    },
  };
}
