/** Evaluates which backend servers may get new work, and reports changes. */

import type { BackendServer } from '../backendServers/backendServer';
import type { ServerHealth } from '../requests/routerMessage';
import type { Fleet, FleetDecision } from './fleet';
import { INITIAL_WEIGHT, PANIC_SHARE, RAMP_UP_MS, SERVER_REPORT_TTL_MS } from './fleetConstants';
import { getServerRecord } from './getServerRecord';
import type { ServerRecord } from './serverRecord';

/** Weights are rounded to tenths, which limits a gradual return to ten changes. */
const WEIGHT_STEPS = 10;

/**
 * Reports the health of all servers in scope to the other sides if that of any server changed.
 *
 * @param fleet the state
 * @param atMs now
 */
export function evaluateServers(fleet: Fleet, atMs: number): FleetDecision {
  const { scope, told } = fleet.servers;
  const panicGroups = listPanicGroups(fleet, atMs);
  const health = scope.map((server) => evaluateServer(fleet, server, panicGroups, atMs));
  if (isSameHealth(health, told)) return { state: fleet, effects: [] };
  return {
    state: { ...fleet, servers: { ...fleet.servers, told: health } },
    effects: [{ type: 'servers-changed', servers: health }],
  };
}

function evaluateServer(
  fleet: Fleet,
  server: BackendServer,
  panicGroups: ReadonlySet<string>,
  atMs: number,
): ServerHealth {
  const record = getServerRecord(fleet, server.id);
  const { report } = record;
  const isFresh = report !== undefined && atMs - report.observedAtMs <= SERVER_REPORT_TTL_MS;
  const isEjected = isWithinEjection(record, atMs) && !panicGroups.has(groupOf(fleet, server));
  const isUsable = isFresh && report.state === 'live' && !server.leaving && !isEjected;
  return { server: server.id, isUsable, weight: computeWeight(record, atMs) };
}

function isWithinEjection(record: ServerRecord, atMs: number): boolean {
  return atMs < record.failureHistory.ejectedUntilMs;
}

/** After a recovery the weight grows linearly from `INITIAL_WEIGHT` to 1. */
function computeWeight(record: ServerRecord, atMs: number): number {
  const { ejectedUntilMs, recoveredAtMs } = record.failureHistory;
  const since = Math.max(ejectedUntilMs, recoveredAtMs);
  if (since === 0 || atMs - since >= RAMP_UP_MS) return 1;
  const done = Math.max(0, atMs - since) / RAMP_UP_MS;
  const weight = INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * done;
  return Math.floor(weight * WEIGHT_STEPS) / WEIGHT_STEPS;
}

/** Engines of the same model are interchangeable, and so are plain services. */
function groupOf(fleet: Fleet, server: BackendServer): string {
  const engine = fleet.configuration.applied.engine.get(server.id);
  return engine === undefined ? server.kind : `model ${engine.model}`;
}

/** Groups with so many ejected servers that the remaining ones would be overloaded. */
function listPanicGroups(fleet: Fleet, atMs: number): ReadonlySet<string> {
  const { records, scope } = fleet.servers;
  if (!records.some((record) => isWithinEjection(record, atMs))) return new Set();
  const out = scope.filter(({ id }) => isWithinEjection(getServerRecord(fleet, id), atMs));
  const countGroup = (servers: readonly BackendServer[], group: string): number =>
    servers.filter((server) => groupOf(fleet, server) === group).length;
  const groups = new Set(out.map((server) => groupOf(fleet, server)));
  return new Set(
    [...groups].filter((group) => countGroup(out, group) > PANIC_SHARE * countGroup(scope, group)),
  );
}

function isSameHealth(health: readonly ServerHealth[], previous: readonly ServerHealth[]): boolean {
  if (health.length !== previous.length) return false;
  return health.every(({ server, isUsable, weight }, index) => {
    const before = previous[index];
    return before?.server === server && before.isUsable === isUsable && before.weight === weight;
  });
}
