/**
 * Queries engines for their reports when requests fail or stall. Requests that wait for the same engine
 * share one query, and a suspected engine is queried again until it answers.
 */

import type { BackendProtocol, ReportResult } from './backendProtocol';
import type { LogFields } from './job';
import type { ServerRegistry } from './createServerRegistry';

export interface ServerProbes {
  /** Queries one server and updates the registry from its report. */
  readonly ask: (id: string) => Promise<ReportResult>;
  /**
   * Queries those of the servers that have no recent report.
   *
   * @returns whether there were any
   */
  readonly askUnreported: (ids: readonly string[]) => Promise<boolean>;
  /** Queries each suspected server whose last query is at least `intervalMs` old. */
  readonly recheckSuspected: (intervalMs: number) => void;
}

export interface ServerProbeOptions {
  readonly registry: ServerRegistry;
  readonly protocol: BackendProtocol;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time for which all requests share one report; when chains stall, all their streams query at once. */
const REPORT_SHARED_MS = 400;

/** Time for which all requests share a query without an answer. */
const UNANSWERED_SHARED_MS = 100;

/** Pace and memory share from which a report is logged, as a possible cause of a refused request. */
const SLOW_PACE = 1.5;
const CROWDED_SHARE = 0.8;

/** Time for which a query is kept; longer than any interval between rechecks. */
const QUERY_KEPT_MS = 5_000;

interface SharedQuery {
  readonly atMs: number;
  /** Time for which further requests share this query, milliseconds. */
  readonly sharedMs: number;
  readonly result: Promise<ReportResult>;
}

/** Creates the probes. */
export function createServerProbes(options: ServerProbeOptions): ServerProbes {
  const { registry, protocol, now, log } = options;
  const queries = new Map<string, SharedQuery>();
  const fetch = async (id: string): Promise<ReportResult> => {
    const server = registry.find(id);
    if (server === undefined) return { type: 'failed', detail: 'not listed' };
    const result = await protocol.fetchReport(server.address);
    if (result.type === 'report') {
      const { pace, queued, running, memoryShare } = result.report;
      registry.recordReport(id, { pace, memoryShare });
      if (pace >= SLOW_PACE || memoryShare >= CROWDED_SHARE) {
        log('engine reports', { server: id, pace, queued, running, memoryShare });
      }
      const isSame = server.bornMs === 0 || result.report.bornMs === server.bornMs;
      if (isSame) registry.clearSuspicion(id);
      else registry.suspect(id, 'restarted');
    } else if (result.type === 'refused') registry.suspect(id, result.type, result.detail);
    else if (result.type === 'silent') registry.suspect(id, result.type);
    return result;
  };
  const ask = (id: string): Promise<ReportResult> => {
    const known = queries.get(id);
    if (known !== undefined && now() - known.atMs < known.sharedMs) return known.result;
    const result = fetch(id);
    const query = { atMs: now(), sharedMs: UNANSWERED_SHARED_MS, result };
    queries.set(id, query);
    void result.then(({ type }) => {
      if (type === 'report') queries.set(id, { ...query, sharedMs: REPORT_SHARED_MS });
    });
    return result;
  };
  return {
    ask,
    askUnreported: async (ids) => {
      const unreported = ids.filter((id) => !registry.hasRecentReport(id));
      await Promise.all(unreported.map(ask));
      return unreported.length > 0;
    },
    recheckSuspected: (intervalMs) => {
      for (const { id } of registry.suspicions()) {
        if (now() - (queries.get(id)?.atMs ?? Number.NEGATIVE_INFINITY) >= intervalMs) void ask(id);
      }
      for (const [id, { atMs }] of queries) if (now() - atMs > QUERY_KEPT_MS) queries.delete(id);
    },
  };
}
