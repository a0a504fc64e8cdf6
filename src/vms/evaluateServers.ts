/** Works out which backend servers may get new work, and tells of changes. */

import type { BackendServer } from '../backendServers/backendServer';
import type { ServerHealth } from '../requests/routerMessage';
import type { Fleet, FleetDecision } from './fleet';
import { INITIAL_WEIGHT, SERVER_REPORT_TTL_MS, PANIC_SHARE, RAMP_UP_MS } from './fleetConstants';
import type { ServerRecord } from './serverRecord';
import { getServerRecord } from './getServerRecord';

/** Weights are told in steps of one tenth, so that a gradual return is ten changes. */
const WEIGHT_STEPS = 10;

/**
 * Tells the other sides where the health of a server changed; the list always names all servers that
 * this VM keeps word of.
 *
 * @param fleet the state
 * @param atMs now
 */
export function evaluateServers(fleet: Fleet, atMs: number): FleetDecision {
  const { scope, told } = fleet.servers;
  const panicking = listPanicking(fleet, atMs);
  const health = scope.map((server) => judge(fleet, server, panicking, atMs));
  if (isSame(health, told)) return { state: fleet, effects: [] };
  return {
    state: { ...fleet, servers: { ...fleet.servers, told: health } },
    effects: [{ type: 'servers-changed', servers: health }],
  };
}

function judge(
  fleet: Fleet,
  server: BackendServer,
  panicking: ReadonlySet<string>,
  atMs: number,
): ServerHealth {
  const record = getServerRecord(fleet, server.id);
  const { report: word } = record;
  const isFresh = word !== undefined && atMs - word.observedAtMs <= SERVER_REPORT_TTL_MS;
  const isEjected = isOut(record, atMs) && !panicking.has(groupOf(fleet, server));
  const isUsable = isFresh && word.state === 'live' && !server.leaving && !isEjected;
  return { server: server.id, isUsable, weight: weigh(record, atMs) };
}

function isOut(record: ServerRecord, atMs: number): boolean {
  return atMs < record.failureHistory.ejectedUntilMs;
}

/** The share grows linearly from the return on. */
function weigh(record: ServerRecord, atMs: number): number {
  const { ejectedUntilMs, recoveredAtMs: returnedAtMs } = record.failureHistory;
  const since = Math.max(ejectedUntilMs, returnedAtMs);
  if (since === 0 || atMs - since >= RAMP_UP_MS) return 1;
  const done = Math.max(0, atMs - since) / RAMP_UP_MS;
  const weight = INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * done;
  return Math.floor(weight * WEIGHT_STEPS) / WEIGHT_STEPS;
}

/** Engines of one model stand in for each other, and plain services too. */
function groupOf(fleet: Fleet, server: BackendServer): string {
  const engine = fleet.configuration.applied.engine.get(server.id);
  return engine === undefined ? server.kind : `model ${engine.model}`;
}

/** Groups of which so many are ejected that sparing them would overload the rest. */
function listPanicking(fleet: Fleet, atMs: number): ReadonlySet<string> {
  const { records, scope } = fleet.servers;
  if (!records.some((record) => isOut(record, atMs))) return new Set();
  const out = scope.filter(({ id }) => isOut(getServerRecord(fleet, id), atMs));
  const countGroup = (servers: readonly BackendServer[], group: string): number =>
    servers.filter((server) => groupOf(fleet, server) === group).length;
  const groups = new Set(out.map((server) => groupOf(fleet, server)));
  return new Set(
    [...groups].filter((group) => countGroup(out, group) > PANIC_SHARE * countGroup(scope, group)),
  );
}

function isSame(health: readonly ServerHealth[], told: readonly ServerHealth[]): boolean {
  if (health.length !== told.length) return false;
  return health.every(({ server, isUsable, weight }, index) => {
    const before = told[index];
    return before?.server === server && before.isUsable === isUsable && before.weight === weight;
  });
}
