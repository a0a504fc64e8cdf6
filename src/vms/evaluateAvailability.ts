/** Decides whether this VM accepts new requests. A VM without current data refuses them. */

import { chain } from './chain';
import type { Availability, Fleet, FleetDecision } from './fleet';
import {
  HEAD_DISCOVERY_MS,
  ISOLATION_TIMEOUT_MS,
  MAX_CONFIGURATION_LAG_MS,
} from './fleetConstants';
import { sendUpdates } from './sendUpdates';
import { withMembership } from './withMembership';

type ReasonCheck = (fleet: Fleet, atMs: number) => string | undefined;

/** Checks for reasons to refuse new requests, in order of precedence. */
const reasonChecks: readonly ReasonCheck[] = [
  (fleet) => (fleet.availability.isSuperseded ? 'replaced by a newer VM of this id' : undefined),
  (fleet, atMs) => (haveAnswersExpired(fleet, atMs) ? 'draining' : undefined),
  ({ availability }) => (availability.hasFreshAnswer ? undefined : 'no word since start or pause'),
  ({ availability }, atMs) =>
    atMs - Math.max(availability.peerLastSeenAtMs, availability.storeLastSeenAtMs) >
    ISOLATION_TIMEOUT_MS
      ? 'no word from the store or any peer'
      : undefined,
  (fleet, atMs) => (isDiscoveringHead(fleet, atMs) ? 'learning the configuration' : undefined),
  (fleet, atMs) => (isBehind(fleet, atMs) ? 'behind the configuration' : undefined),
];

/**
 * Notifies the other sides, and some VMs, if the result changed.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function evaluateAvailability(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { applied, head } = fleet.configuration;
  const isLagging = applied.revision < head;
  const behindSinceMs = isLagging ? Math.min(fleet.availability.behindSinceMs, atMs) : Infinity;
  const updated = { ...fleet, availability: { ...fleet.availability, behindSinceMs } };
  const reason = findReason(updated, atMs);
  const isAccepting = reason === undefined;
  if (
    isAccepting === fleet.availability.isAccepting &&
    (reason ?? '') === fleet.availability.reason
  ) {
    return { state: updated, effects: [] };
  }
  return chain(updated, (state) =>
    announceAvailability(state, isAccepting, reason ?? '', atMs, seed),
  );
}

function findReason(fleet: Fleet, atMs: number): string | undefined {
  for (const check of reasonChecks) {
    const reason = check(fleet, atMs);
    if (reason !== undefined) return reason;
  }
  return undefined;
}

/** Whether this VM drains and all answers that named it have expired. */
function haveAnswersExpired(fleet: Fleet, atMs: number): boolean {
  return fleet.drain !== undefined && atMs >= fleet.drain.addressesExpireAtMs;
}

/** A VM that starts or resumes first waits for the highest revision that the store or its peers report. */
function isDiscoveringHead(fleet: Fleet, atMs: number): boolean {
  const { availability, configuration } = fleet;
  if (availability.isAccepting) return false;
  if (configuration.applied.revision < configuration.head) return true;
  const hasReadStore = availability.storeLastSeenAtMs >= availability.resumedAtMs;
  return !hasReadStore && atMs - availability.resumedAtMs < HEAD_DISCOVERY_MS;
}

/** Whether this VM has known for too long of a revision that it could not get. */
function isBehind(fleet: Fleet, atMs: number): boolean {
  return atMs - fleet.availability.behindSinceMs > MAX_CONFIGURATION_LAG_MS;
}

function announceAvailability(
  fleet: Fleet,
  isAccepting: boolean,
  reason: string,
  atMs: number,
  seed: number,
): FleetDecision {
  const availability: Availability = { ...fleet.availability, isAccepting, reason };
  const hasFlipped = isAccepting !== fleet.availability.isAccepting;
  const version = fleet.membership.version + (hasFlipped ? 1 : 0);
  const announced = withMembership({ ...fleet, availability }, { version, isChanged: true });
  return chain(
    announced,
    (state) => ({
      state,
      effects: [
        { type: 'accepting-changed', isAccepting, reason },
        {
          type: 'log',
          level: isAccepting ? 'info' : 'warn',
          message: isAccepting ? 'accepting new requests' : 'refusing new requests',
          fields: { reason },
        },
      ],
    }),
    (state) => (hasFlipped ? sendUpdates(state, atMs, seed) : { state, effects: [] }),
  );
}
