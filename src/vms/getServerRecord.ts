/** Looks up the record of a backend server. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Fleet } from './fleet';
import type { ServerRecord } from './serverRecord';

const EMPTY_RECORD: ServerRecord = {
  report: undefined,
  load: undefined,
  loadAtMs: -Infinity,
  leavingAtMs: -Infinity,
  probedAtMs: -Infinity,
  notBeforeMs: -Infinity,
  failureHistory: { failuresInRow: 0, ejections: 0, ejectedUntilMs: 0, recoveredAtMs: 0 },
};

/** @returns the record, or an empty one if the server has none */
export function getServerRecord(fleet: Fleet, server: BackendServerId): ServerRecord {
  return fleet.servers.records.get(server) ?? EMPTY_RECORD;
}
