/** Looks up what is known of a backend server. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Fleet } from './fleet';
import type { ServerRecord } from './serverRecord';

const NOTHING: ServerRecord = {
  word: undefined,
  load: undefined,
  loadAtMs: -Infinity,
  leavingAtMs: -Infinity,
  probedAtMs: -Infinity,
  notBeforeMs: -Infinity,
  conduct: { failuresInRow: 0, ejections: 0, ejectedUntilMs: 0, returnedAtMs: 0 },
};

/** @returns the record, or an empty one */
export function serverRecordOf(fleet: Fleet, server: BackendServerId): ServerRecord {
  return fleet.servers.records.get(server) ?? NOTHING;
}
