/** Runs the periodic tasks of the fleet side on one timer. */

import { chain } from './chain';
import { evaluateAvailability } from './evaluateAvailability';
import { evaluateServers } from './evaluateServers';
import { expireProbes } from './expireProbes';
import { expireSuspicions } from './expireSuspicions';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import { HEALTH_EVALUATION_PERIOD_MS, TICK_MS, TICK_TIMER } from './fleetConstants';
import { completeDrain } from './handleDrain';
import { pollStore } from './pollStore';
import { purgeMembers } from './purgeMembers';
import { refreshViews } from './refreshViews';
import { reportUsage } from './shareUsage';
import { startProbeRound } from './startProbeRound';
import { trackAcceptance } from './trackAcceptance';
import { probeStaleServers, watchServers } from './watchServers';

/** Runs the tasks that are due and resets the timer. */
export function handleTick(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  if (!fleet.isStarted || fleet.drain?.isDone === true) return { state: fleet, effects: [] };
  return chain(
    fleet,
    (state) => ({
      state,
      effects: [{ type: 'set-timer', timer: TICK_TIMER, afterMs: TICK_MS }],
    }),
    (state) => expireProbes(state, atMs, seed),
    (state) => expireSuspicions(state, atMs, seed),
    (state) => purgeMembers(state, atMs),
    refreshViews,
    (state) => startProbeRound(state, atMs, seed),
    (state) => pollStore(state, atMs),
    (state) => fetchConfiguration(state, atMs, seed),
    (state) => evaluateAvailability(state, atMs, seed),
    (state) => trackAcceptance(state, atMs),
    (state) => watchServers(state, atMs),
    (state) => evaluateServersIfDue(state, atMs),
    (state) => reportUsage(state, atMs),
    (state) => completeDrain(state, atMs, seed),
  );
}

/** The evaluation iterates over all servers in scope, so it has its own, longer period. */
function evaluateServersIfDue(fleet: Fleet, atMs: number): FleetDecision {
  if (atMs < fleet.servers.nextEvaluationAtMs) return { state: fleet, effects: [] };
  const servers = { ...fleet.servers, nextEvaluationAtMs: atMs + HEALTH_EVALUATION_PERIOD_MS };
  return chain(
    { ...fleet, servers },
    (state) => probeStaleServers(state, atMs),
    (state) => evaluateServers(state, atMs),
  );
}
