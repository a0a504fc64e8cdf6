/** The fleet side of a VM before it has started. */

import { List, Map as ImmutableMap } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import type { Fleet, FleetOptions } from './fleet';
import { ANSWER_VALID_MS } from './fleetConstants';
import type { Vm } from './vm';

const NOWHERE = { host: '', port: 0 };

/** Stands in until `started` brings the VM's own record. */
const UNKNOWN_VM: Vm = {
  id: '',
  incarnation: 0,
  failureDomain: '',
  region: '',
  addresses: { http: NOWHERE, peer: NOWHERE, gossip: NOWHERE },
};

/**
 * Makes the state that `reduceFleet` starts from.
 *
 * @param options times that the settings may change
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
      ownUses: ImmutableMap(),
      reported: ImmutableMap(),
      nextUseAtMs: 0,
      useTurn: 0,
    },
    standing: createStanding(),
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
    turn: [],
    round: 0,
    nextRoundAtMs: 0,
    nextNonce: 1,
    cursor: 0,
    askedRecordsAtMs: -Infinity,
    nextListAtMs: 0,
    nextForgetAtMs: 0,
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
    nextJudgeAtMs: 0,
    told: [],
  };
}

function createStanding(): Fleet['standing'] {
  return {
    isAccepting: false,
    reason: 'starting',
    wokeAtMs: 0,
    firstNonce: 0,
    isAwake: false,
    heardPeerAtMs: -Infinity,
    heardStoreAtMs: -Infinity,
    behindSinceMs: Infinity,
    isSuperseded: false,
  };
}
