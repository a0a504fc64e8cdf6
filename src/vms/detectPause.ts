/** Detects that the VM was paused, and discards time-dependent state. */

import { chain } from './chain';
import { evaluateAvailability } from './evaluateAvailability';
import { evaluateServers } from './evaluateServers';
import type { Fleet, FleetDecision } from './fleet';
import { PAUSE_THRESHOLD_MS } from './fleetConstants';
import type { Member } from './member';
import { withMembership } from './withMembership';

/**
 * Compares the time of an event with that of the previous one. A tick fires ten times a second, so a long
 * gap means that this VM was paused. It must then not conclude from missing messages that others failed,
 * and it trusts received data only after something that it sends from now on has been answered.
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
    discardStaleState(state, atMs),
    (discarded) => ({
      state: discarded,
      effects: [
        { type: 'count', counter: 'pauses', by: 1 },
        {
          type: 'log',
          level: 'warn',
          message: 'resumed after a pause',
          fields: { gapMs: Math.round(gapMs) },
        },
      ],
    }),
    (discarded) => evaluateAvailability(discarded, atMs, seed),
    (discarded) => evaluateServers(discarded, atMs),
  );
}

function discardStaleState(fleet: Fleet, atMs: number): Fleet {
  const { membership, availability, configuration } = fleet;
  const restartSuspicion = (member: Member): Member =>
    member.status === 'suspect' ? { ...member, changedAtMs: atMs } : member;
  const renewed = withMembership(fleet, {
    probes: membership.probes.clear(),
    relays: membership.relays.clear(),
    members: membership.members.map(restartSuspicion),
    nextRoundAtMs: atMs,
  });
  const minValidNonce = membership.nextNonce;
  return {
    ...renewed,
    availability: {
      ...availability,
      hasFreshAnswer: false,
      resumedAtMs: atMs,
      minValidNonce,
    },
    configuration: { ...configuration, nextPollAtMs: atMs, isPolling: false },
  };
}
