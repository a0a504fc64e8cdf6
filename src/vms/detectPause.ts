/** Notices that the VM was paused, and throws away what it knew by the clock. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { PAUSE_THRESHOLD_MS } from './fleetConstants';
import { evaluateServers } from './evaluateServers';
import { evaluateAvailability } from './evaluateAvailability';
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
export function detectPause(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const gapMs = atMs - fleet.clockMs;
  const state = { ...fleet, clockMs: Math.max(atMs, fleet.clockMs) };
  if (gapMs <= PAUSE_THRESHOLD_MS) return { state, effects: [] };
  return chain(
    doubt(state, atMs),
    (doubting) => ({
      state: doubting,
      effects: [
        { type: 'count', counter: 'pauses', by: 1 },
        { type: 'log', level: 'warn', message: 'Was paused', fields: { gapMs: Math.round(gapMs) } },
      ],
    }),
    (doubting) => evaluateAvailability(doubting, atMs, seed),
    (doubting) => evaluateServers(doubting, atMs),
  );
}

function doubt(fleet: Fleet, atMs: number): Fleet {
  const { membership, availability: standing, configuration } = fleet;
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
    availability: {
      ...standing,
      hasFreshAnswer: false,
      resumedAtMs: atMs,
      minValidNonce: firstNonce,
    },
    configuration: { ...configuration, nextPollAtMs: atMs, isPolling: false },
  };
}
