/** Notices that the VM was paused, and throws away what it knew by the clock. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { PAUSE_MS } from './fleetConstants';
import { judgeServers } from './judgeServers';
import { judgeStanding } from './judgeStanding';
import type { Member } from './member';
import { withMembership } from './withMembership';

/**
 * Compares the time of an event with that of the one before: a tick comes ten times a second, so a
 * long silence means that this VM stood still. What it would conclude from the silence of others is
 * void then; it trusts nothing until an answer to something sent from now on has come.
 *
 * @param fleet the state
 * @param atMs the time of the event
 * @param seed fresh randomness
 */
export function wake(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const gapMs = atMs - fleet.clockMs;
  const state = { ...fleet, clockMs: Math.max(atMs, fleet.clockMs) };
  if (gapMs <= PAUSE_MS) return { state, effects: [] };
  return chain(
    doubt(state, atMs),
    (doubting) => ({
      state: doubting,
      effects: [
        { type: 'count', counter: 'pauses', by: 1 },
        { type: 'log', level: 'warn', message: 'Was paused', fields: { gapMs: Math.round(gapMs) } },
      ],
    }),
    (doubting) => judgeStanding(doubting, atMs, seed),
    (doubting) => judgeServers(doubting, atMs),
  );
}

function doubt(fleet: Fleet, atMs: number): Fleet {
  const { membership, standing, configuration } = fleet;
  const renew = (member: Member): Member =>
    member.status === 'suspect' ? { ...member, changedAtMs: atMs } : member;
  const renewed = withMembership(fleet, {
    probes: membership.probes.clear(),
    relays: membership.relays.clear(),
    members: membership.members.map(renew),
    nextRoundAtMs: atMs,
  });
  const firstNonce = membership.nextNonce;
  return {
    ...renewed,
    standing: { ...standing, isAwake: false, wokeAtMs: atMs, firstNonce },
    configuration: { ...configuration, nextPollAtMs: atMs, isPolling: false },
  };
}
