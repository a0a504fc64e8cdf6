/** Decides whether this VM takes new work. A VM that cannot know what holds now doubts itself first. */

import { chain } from './chain';
import type { Fleet, FleetDecision, Availability } from './fleet';
import {
  MAX_CONFIGURATION_LAG_MS,
  ISOLATION_TIMEOUT_MS,
  HEAD_DISCOVERY_MS,
} from './fleetConstants';
import { sendUpdates } from './sendUpdates';
import { withMembership } from './withMembership';

type Verdict = (fleet: Fleet, atMs: number) => string | undefined;

/** Reasons not to take new work, the first that holds is given. */
const verdicts: readonly Verdict[] = [
  (fleet) => (fleet.availability.isSuperseded ? 'replaced by a newer VM of this id' : undefined),
  (fleet, atMs) => (hasLapsed(fleet, atMs) ? 'draining' : undefined),
  ({ availability: standing }) =>
    standing.hasFreshAnswer ? undefined : 'no word since start or pause',
  ({ availability: standing }, atMs) =>
    atMs - Math.max(standing.peerLastSeenAtMs, standing.storeLastSeenAtMs) > ISOLATION_TIMEOUT_MS
      ? 'no word from the store or any peer'
      : undefined,
  (fleet, atMs) => (isSettling(fleet, atMs) ? 'learning the configuration' : undefined),
  (fleet, atMs) => (isBehind(fleet, atMs) ? 'behind the configuration' : undefined),
];

/**
 * Tells the other sides, and some VMs, where the verdict changed.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function evaluateAvailability(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { applied, head } = fleet.configuration;
  const isShort = applied.revision < head;
  const behindSinceMs = isShort ? Math.min(fleet.availability.behindSinceMs, atMs) : Infinity;
  const timed = { ...fleet, availability: { ...fleet.availability, behindSinceMs } };
  const reason = firstReason(timed, atMs);
  const isAccepting = reason === undefined;
  if (
    isAccepting === fleet.availability.isAccepting &&
    (reason ?? '') === fleet.availability.reason
  ) {
    return { state: timed, effects: [] };
  }
  return chain(timed, (state) => tell(state, isAccepting, reason ?? '', atMs, seed));
}

function firstReason(fleet: Fleet, atMs: number): string | undefined {
  for (const verdict of verdicts) {
    const reason = verdict(fleet, atMs);
    if (reason !== undefined) return reason;
  }
  return undefined;
}

/** Answers that named this VM have lapsed once it has drained for their validity and the spread. */
function hasLapsed(fleet: Fleet, atMs: number): boolean {
  return fleet.drain !== undefined && atMs >= fleet.drain.addressesExpireAtMs;
}

/** A VM that starts or comes back waits for the highest revision that the store or its peers name. */
function isSettling(fleet: Fleet, atMs: number): boolean {
  const { availability: standing, configuration } = fleet;
  if (standing.isAccepting) return false;
  if (configuration.applied.revision < configuration.head) return true;
  const hasHeardStore = standing.storeLastSeenAtMs >= standing.resumedAtMs;
  return !hasHeardStore && atMs - standing.resumedAtMs < HEAD_DISCOVERY_MS;
}

/** A VM that cannot get a revision that others have in force stops taking new work after a while. */
function isBehind(fleet: Fleet, atMs: number): boolean {
  return atMs - fleet.availability.behindSinceMs > MAX_CONFIGURATION_LAG_MS;
}

function tell(
  fleet: Fleet,
  isAccepting: boolean,
  reason: string,
  atMs: number,
  seed: number,
): FleetDecision {
  const standing: Availability = { ...fleet.availability, isAccepting, reason };
  const hasFlipped = isAccepting !== fleet.availability.isAccepting;
  const version = fleet.membership.version + (hasFlipped ? 1 : 0);
  const told = withMembership({ ...fleet, availability: standing }, { version, isChanged: true });
  return chain(
    told,
    (state) => ({
      state,
      effects: [
        { type: 'accepting-changed', isAccepting, reason },
        {
          type: 'log',
          level: isAccepting ? 'info' : 'warn',
          message: isAccepting ? 'Takes new work' : 'Takes no new work',
          fields: { reason },
        },
      ],
    }),
    (state) => (hasFlipped ? sendUpdates(state, atMs, seed) : { state, effects: [] }),
  );
}
