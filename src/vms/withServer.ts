/** Updates the record of a backend server. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Fleet } from './fleet';
import { MAX_SERVERS } from './fleetConstants';
import { getServerRecord } from './getServerRecord';
import type { ServerRecord } from './serverRecord';

/** Replaces fields of the record of a server that the configuration names; others are ignored. */
export function withServer(
  fleet: Fleet,
  server: BackendServerId,
  changes: Partial<ServerRecord>,
): Fleet {
  const { records } = fleet.servers;
  const isConfigured = fleet.configuration.applied.backendServer.has(server);
  const isFull = records.size >= MAX_SERVERS && !records.has(server);
  if (!isConfigured || isFull) return fleet;
  const record = { ...getServerRecord(fleet, server), ...changes };
  return { ...fleet, servers: { ...fleet.servers, records: records.set(server, record) } };
}
