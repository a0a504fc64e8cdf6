/** Attributes the crash of a backend server to a content that ran on it. */

import type { BackendServerId } from '../backendServers/backendServer';
import { addCrash } from '../crashes/addCrash';
import { pruneCrashTallies } from '../crashes/pruneCrashTallies';
import { CRASH_WINDOW_MS, MAX_SUSPECTS, OUTAGE_CRASHES, SUSPECT_EXPIRY_MS } from './constants';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';
import type { RecentCrash, SuspectRecord, CrashHistory } from './crashHistory';

/**
 * @param router the router
 * @param running the request that ran on the server
 * @param server the backend server that crashed
 * @param atMs the current time
 */
export function attributeCrash(
  router: Router,
  running: RunningRequest,
  server: BackendServerId,
  atMs: number,
): RouterDecision {
  const crashes = addRecentCrash(router.crashHistory.crashes, server, atMs);
  const outage = findOutage(router, crashes, server);
  if (outage.length > 0) {
    const crashHistory = removeCrashes({ ...router.crashHistory, crashes }, outage);
    return { state: { ...router, crashHistory }, effects: [] };
  }
  const { fingerprint } = running.request;
  const known = router.crashHistory.records.get(fingerprint);
  const record = addCrashToRecord(known, server, atMs);
  const records = pruneCrashTallies(router.crashHistory.records, atMs, {
    maxTallies: MAX_SUSPECTS,
    validMs: SUSPECT_EXPIRY_MS,
  }).set(fingerprint, record);
  const suspect = { fingerprint, crashes: record.crashes, ageMs: 0, servers: record.servers };
  return {
    state: { ...router, crashHistory: { records, crashes } },
    effects: [
      { type: 'share-suspects', suspects: [suspect] },
      { type: 'count', counter: 'suspects_marked', by: 1 },
    ],
  };
}

function addRecentCrash(
  crashes: readonly RecentCrash[],
  server: BackendServerId,
  atMs: number,
): readonly RecentCrash[] {
  const recent = crashes.filter(
    (crash) => atMs - crash.atMs < CRASH_WINDOW_MS && crash.server !== server,
  );
  return [...recent, { server, atMs }];
}

/** Finds the servers of an outage: several of one failure domain that crashed within the window. */
function findOutage(
  { configuration }: Router,
  crashes: readonly RecentCrash[],
  server: BackendServerId,
): readonly BackendServerId[] {
  const domainOf = (id: BackendServerId): string | undefined =>
    configuration.backendServer.get(id)?.failureDomain;
  const sameDomain = crashes.filter((crash) => domainOf(crash.server) === domainOf(server));
  return sameDomain.length >= OUTAGE_CRASHES ? sameDomain.map((crash) => crash.server) : [];
}

function removeCrashes(
  crashHistory: CrashHistory,
  servers: readonly BackendServerId[],
): CrashHistory {
  const records = crashHistory.records
    .map((record): SuspectRecord => {
      const left = record.servers.filter((server) => !servers.includes(server));
      const crashes = Math.max(0, record.crashes - (record.servers.length - left.length));
      return { ...record, servers: left, crashes };
    })
    .filter((record) => record.crashes > 0);
  return { ...crashHistory, records };
}

/** Another crash makes a cleared content a suspect again. */
function addCrashToRecord(
  record: SuspectRecord | undefined,
  server: BackendServerId,
  atMs: number,
): SuspectRecord {
  const tally = addCrash(record, server, atMs, { validMs: SUSPECT_EXPIRY_MS });
  return record !== undefined && tally === record ? record : { ...tally, isCleared: false };
}
