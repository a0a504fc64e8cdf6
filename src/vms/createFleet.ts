/** Creates the initial state of the fleet side of a VM. */

import { List, Map as ImmutableMap } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import type { Fleet, FleetOptions } from './fleet';
import { ANSWER_VALID_MS } from './fleetConstants';
import type { Vm } from './vm';

const UNSET_ADDRESS = { host: '', port: 0 };

/** Placeholder until the `started` event provides the VM's own record. */
const UNKNOWN_VM: Vm = {
  id: '',
  incarnation: 0,
  failureDomain: '',
  region: '',
  addresses: { http: UNSET_ADDRESS, peer: UNSET_ADDRESS, gossip: UNSET_ADDRESS },
};

/**
 * Creates the state that `reduceFleet` starts from.
 *
 * @param options durations that the settings may override
 */
export function createFleet(options: FleetOptions = {}): Fleet {
  return {
    options: { answerValidMs: ANSWER_VALID_MS, ...options },
    vm: UNKNOWN_VM,
    seeds: [],
    isStarted: false,
    startedAtMs: 0,
    clockMs: 0,
    membership: createMembership(),
    configuration: createConfigurationState(),
    servers: createServers(),
    sharing: {
      suspects: ImmutableMap(),
      ownUsage: ImmutableMap(),
      reported: ImmutableMap(),
      nextUsageReportAtMs: 0,
      nextUsageGroup: 0,
    },
    availability: createStanding(),
    drain: undefined,
  };
}

function createMembership(): Fleet['membership'] {
  return {
    members: ImmutableMap(),
    version: 0,
    probes: ImmutableMap(),
    relays: ImmutableMap(),
    suspected: [],
    rumors: [],
    introductions: [],
    probeQueue: [],
    round: 0,
    nextRoundAtMs: 0,
    nextNonce: 1,
    rosterCursor: 0,
    recordsRequestedAtMs: -Infinity,
    nextListAtMs: 0,
    nextPurgeAtMs: 0,
    isChanged: true,
    ring: [],
    roster: [],
    liveVms: 1,
    acceptingVms: 0,
    hashes: [],
  };
}

function createConfigurationState(): Fleet['configuration'] {
  return {
    applied: createConfiguration(),
    recentRevisions: List(),
    head: 0,
    fetch: { type: 'none' },
    partial: undefined,
    nextPollAtMs: 0,
    isPolling: false,
    polledAtMs: -Infinity,
    accepted: 0,
    told: '',
  };
}

function createServers(): Fleet['servers'] {
  return {
    records: ImmutableMap(),
    scope: [],
    watched: [],
    isStale: true,
    nextWatchAtMs: 0,
    digestAtMs: Infinity,
    nextRelayAtMs: 0,
    nextEvaluationAtMs: 0,
    told: [],
  };
}

function createStanding(): Fleet['availability'] {
  return {
    isAccepting: false,
    reason: 'starting',
    resumedAtMs: 0,
    minValidNonce: 0,
    hasFreshAnswer: false,
    peerLastSeenAtMs: -Infinity,
    storeLastSeenAtMs: -Infinity,
    behindSinceMs: Infinity,
    isSuperseded: false,
  };
}
