/** Everything periodic, on one timer. */

import { acceptConfiguration } from './acceptConfiguration';
import { chain } from './chain';
import { expireProbes } from './expireProbes';
import { expireSuspicions } from './expireSuspicions';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import { JUDGE_PERIOD_MS, TICK_MS, TICK_TIMER } from './fleetConstants';
import { forgetMembers } from './forgetMembers';
import { finishDrain } from './handleDrain';
import { judgeServers } from './judgeServers';
import { judgeStanding } from './judgeStanding';
import { pollStore } from './pollStore';
import { refreshViews } from './refreshViews';
import { reportUse } from './shareUse';
import { startRound } from './startRound';
import { probeOld, watchServers } from './watchServers';

/** Does what is due and sets the timer again. */
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
    (state) => forgetMembers(state, atMs),
    refreshViews,
    (state) => startRound(state, atMs, seed),
    (state) => pollStore(state, atMs),
    (state) => fetchConfiguration(state, atMs, seed),
    (state) => judgeStanding(state, atMs, seed),
    (state) => acceptConfiguration(state, atMs),
    (state) => watchServers(state, atMs),
    (state) => judgeInTurn(state, atMs),
    (state) => reportUse(state, atMs),
    (state) => finishDrain(state, atMs, seed),
  );
}

/** Judging goes over all servers in scope, so it has a period of its own. */
function judgeInTurn(fleet: Fleet, atMs: number): FleetDecision {
  if (atMs < fleet.servers.nextJudgeAtMs) return { state: fleet, effects: [] };
  const servers = { ...fleet.servers, nextJudgeAtMs: atMs + JUDGE_PERIOD_MS };
  return chain(
    { ...fleet, servers },
    (state) => probeOld(state, atMs),
    (state) => judgeServers(state, atMs),
  );
}
