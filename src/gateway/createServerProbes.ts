/**
 * Finds out whether backend servers run when requests fail or stall. An engine is queried for its report, a
 * plain server at the health path of its service. Requests that wait for the same server share one query, and
 * a suspected server is queried again until it answers.
 */

import type { ServiceProfile } from '../catalog/catalog';
import type { ListedServer } from '../chains/layerEngine';
import type { BackendProtocol, HealthResult, ReportResult } from './backendProtocol';
import type { LogFields } from './job';
import type { ServerRegistry } from './serverRegistry';
import type { ServerSuspicion } from './createSuspicions';
import { createSharedQueries } from './createSharedQueries';
import type { QueryReason, SharedQueries } from './createSharedQueries';

export interface ServerProbes {
  /** Queries one server for its report and updates the registry from it. */
  readonly ask: (id: string, reason: QueryReason) => Promise<ReportResult>;
  /** Queries one server for whether it runs, in the way of its service, and updates the registry. */
  readonly check: (id: string, reason: QueryReason) => Promise<void>;
  /**
   * Queries those of the servers that have no recent report.
   *
   * @returns whether there were any
   */
  readonly askUnreported: (ids: readonly string[]) => Promise<boolean>;
  /**
   * Checks each suspected server whose last query is at least `intervalMs` old. A plain server is checked
   * less often the longer it stays suspected.
   */
  readonly recheckSuspected: (intervalMs: number) => void;
}

export interface ServerProbeOptions {
  readonly registry: ServerRegistry;
  readonly protocol: BackendProtocol;
  /** Undefined for a service that the catalog does not contain. */
  readonly profileOf: (service: string) => ServiceProfile | undefined;
  /** Whether this VM reaches no backend server, so that a query would tell nothing. */
  readonly isPartitioned?: () => boolean;
  /** Time for which an engine's report is shared, milliseconds. */
  readonly reportSharedMs?: (id: string) => number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count?: (counter: string, label: string) => void;
}

/** Pace and memory share from which a report is logged, as a possible cause of a refused request. */
const SLOW_PACE = 1.5;
const CROWDED_SHARE = 0.8;

/** Longest time between two checks of a plain server that this VM rechecks more often itself. */
const MAX_PLAIN_RECHECK_MS = 2_000;

/** How a server shows that it runs: by its report, at its health path, or by any answer at all. */
type Evidence = 'report' | 'health' | 'any-answer';

/** Creates the probes. */
export function createServerProbes(options: ServerProbeOptions): ServerProbes {
  const { registry, protocol, profileOf, now, log } = options;
  const { isPartitioned = () => false, count = () => undefined } = options;
  const evidenceOf = (id: string): Evidence => {
    const profile = profileOf(registry.find(id)?.service ?? '');
    if (profile === undefined || profile.model !== undefined) return 'report';
    return profile.healthPath === undefined ? 'any-answer' : 'health';
  };
  /** Checks a server whose limit leaves this VM no query. */
  const checkConnection = async ({ id, address }: ListedServer): Promise<ReportResult> => {
    const found = await protocol.checkConnection(address);
    if (found === 'accepted') {
      // A frozen process accepts connections too, so this lifts a suspicion only where no query ever will.
      const isNeverQueried = registry.limitWaitMs(id, 'control') === Infinity;
      const suspicion = registry.suspicions().find((one) => one.id === id);
      if (isNeverQueried && suspicion?.reason !== 'restarted') registry.dropSuspicion(id);
      return { type: 'failed', detail: 'at its limit' };
    }
    registry.suspect(id, found);
    return { type: found };
  };
  const fetchReport = async (id: string, reason: QueryReason): Promise<ReportResult> => {
    const server = registry.find(id);
    if (server === undefined) return { type: 'failed', detail: 'not listed' };
    if (isPartitioned()) return { type: 'failed', detail: 'partitioned' };
    if (registry.quietMs(id) > 0) return { type: 'failed', detail: 'wants no requests' };
    if (registry.limitWaitMs(id, 'control') > 0) return checkConnection(server);
    registry.recordControl(id);
    count('server_queries', reason);
    const sentMs = now();
    const result = await protocol.fetchReport(server.address);
    if (result.type === 'report') {
      registry.recordLimit(id, { limit: result.requestLimit, sentMs, source: 'report' });
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
    else if (evidenceOf(id) === 'any-answer') registry.clearSuspicion(id);
    return result;
  };
  const checkHealth = async (
    id: string,
    reason: QueryReason,
  ): Promise<HealthResult | undefined> => {
    const server = registry.find(id);
    const healthPath = profileOf(server?.service ?? '')?.healthPath;
    const isLeftAlone = isPartitioned() || registry.quietMs(id) > 0;
    if (server === undefined || healthPath === undefined || isLeftAlone) return undefined;
    if (registry.limitWaitMs(id, 'control') > 0) {
      await checkConnection(server);
      return undefined;
    }
    registry.recordControl(id);
    count('server_queries', reason);
    const result = await protocol.checkHealth(server.address, healthPath);
    if (result.type !== 'answered') {
      registry.suspect(id, result.type);
      return result;
    }
    const { serverId = id, isHealthy } = result;
    if (serverId !== id) {
      log('another server answers', { server: id, found: serverId });
      registry.suspect(id, 'restarted');
      return result;
    }
    // A full or unhealthy server runs; whether calls fail there is for the call history to say.
    if (!isHealthy) log('server not healthy', { server: id });
    registry.clearSuspicion(id);
    return result;
  };
  const { reportSharedMs } = options;
  const reports = createSharedQueries({
    query: fetchReport,
    isAnswer: ({ type }) => type === 'report',
    ...(reportSharedMs === undefined ? {} : { answerSharedMs: reportSharedMs }),
    now,
  });
  const healthChecks = createSharedQueries({
    query: checkHealth,
    isAnswer: (result) => result?.type === 'answered',
    // A second check would wait for a slot of the server behind the first.
    openSharedMs: Number.POSITIVE_INFINITY,
    now,
  });
  const queriesByEvidence: Readonly<Record<Evidence, SharedQueries<unknown>>> = {
    report: reports,
    health: healthChecks,
    'any-answer': reports,
  };
  return {
    ask: reports.ask,
    check: async (id, reason) => {
      await queriesByEvidence[evidenceOf(id)].ask(id, reason);
    },
    askUnreported: async (ids) => {
      const unreported = ids.filter((id) => !registry.hasRecentReport(id));
      await Promise.all(unreported.map((id) => reports.ask(id, 'unreported')));
      return unreported.length > 0;
    },
    recheckSuspected: (intervalMs) => {
      for (const suspicion of registry.suspicions()) {
        const evidence = evidenceOf(suspicion.id);
        const queries = queriesByEvidence[evidence];
        const askedMs = queries.askedMs(suspicion.id);
        const waitMs =
          evidence === 'report' ? intervalMs : computePlainWaitMs(suspicion, askedMs, intervalMs);
        if (now() - askedMs >= waitMs) void queries.ask(suspicion.id, 'suspected');
      }
      reports.removeOld();
      healthChecks.removeOld();
    },
  };
}

/** Doubles the time between two checks of a plain server, up to a limit: each check takes a slot of it. */
function computePlainWaitMs(
  { sinceMs }: ServerSuspicion,
  askedMs: number,
  intervalMs: number,
): number {
  return Math.max(intervalMs, Math.min(MAX_PLAIN_RECHECK_MS, askedMs - sinceMs));
}
