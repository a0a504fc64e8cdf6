/** Notes on a content that a backend server crashed while it ran there. */

import type { BackendServerId } from '../backendServers/backendServer';
import { CRASH_WINDOW_MS, OUTAGE_CRASHES, SUSPECT_MS } from './constants';
import { pruneSuspects } from './pruneSuspects';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';
import type { RecentCrash, SuspectRecord, Suspicion } from './suspicion';

/**
 * @param router the router
 * @param running the request that ran there
 * @param server the backend server
 * @param atMs now
 */
export function blameCrash(
  router: Router,
  running: RunningRequest,
  server: BackendServerId,
  atMs: number,
): RouterDecision {
  const crashes = noteCrash(router.suspicion.crashes, server, atMs);
  const outage = findOutage(router, crashes, server);
  if (outage.length > 0) {
    const suspicion = forgive({ ...router.suspicion, crashes }, outage);
    return { state: { ...router, suspicion }, effects: [] };
  }
  const { fingerprint } = running.request;
  const record = addCrash(router.suspicion.records.get(fingerprint), server, atMs);
  const records = pruneSuspects(router.suspicion.records, atMs).set(fingerprint, record);
  const suspect = { fingerprint, crashes: record.crashes, ageMs: 0, servers: record.servers };
  return {
    state: { ...router, suspicion: { records, crashes } },
    effects: [
      { type: 'share-suspects', suspects: [suspect] },
      { type: 'count', counter: 'suspects_marked', by: 1 },
    ],
  };
}

function noteCrash(
  crashes: readonly RecentCrash[],
  server: BackendServerId,
  atMs: number,
): readonly RecentCrash[] {
  const recent = crashes.filter(
    (crash) => atMs - crash.atMs < CRASH_WINDOW_MS && crash.server !== server,
  );
  return [...recent, { server, atMs }];
}

/** The servers of an outage: several of one failure domain that crashed within the window. */
function findOutage(
  { configuration }: Router,
  crashes: readonly RecentCrash[],
  server: BackendServerId,
): readonly BackendServerId[] {
  const domainOf = (id: BackendServerId): string | undefined =>
    configuration.backendServer.get(id)?.failureDomain;
  const near = crashes.filter((crash) => domainOf(crash.server) === domainOf(server));
  return near.length >= OUTAGE_CRASHES ? near.map((crash) => crash.server) : [];
}

function forgive(suspicion: Suspicion, servers: readonly BackendServerId[]): Suspicion {
  const records = suspicion.records
    .map((record): SuspectRecord => {
      const left = record.servers.filter((server) => !servers.includes(server));
      const crashes = Math.max(0, record.crashes - (record.servers.length - left.length));
      return { ...record, servers: left, crashes };
    })
    .filter((record) => record.crashes > 0);
  return { ...suspicion, records };
}

/** One crash counts once, however many requests of the content saw it. */
function addCrash(
  record: SuspectRecord | undefined,
  server: BackendServerId,
  atMs: number,
): SuspectRecord {
  const isFresh = record !== undefined && atMs - record.lastCrashAtMs < SUSPECT_MS;
  if (!isFresh) return { servers: [server], crashes: 1, lastCrashAtMs: atMs, isCleared: false };
  if (record.servers.includes(server)) return record;
  const servers = [...record.servers, server];
  return { servers, crashes: record.crashes + 1, lastCrashAtMs: atMs, isCleared: false };
}
