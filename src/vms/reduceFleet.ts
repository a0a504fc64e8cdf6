/**
 * The fleet side of a VM as one pure reducer: membership, shared soft state, addresses, configuration
 * and drain.
 */

import { createReducer } from '../decisions/createReducer';
import type { Decision } from '../decisions/decision';
import { answerAddresses } from './answerAddresses';
import { chain } from './chain';
import { detectPause } from './detectPause';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import { TICK_TIMER } from './fleetConstants';
import type { FleetEffect, FleetEvent } from './fleetMessage';
import { handleDatagram } from './handleDatagram';
import { handleDrainStarted, handleWorkCounted } from './handleDrain';
import { handleListed } from './handleListed';
import { handleMessage } from './handleMessage';
import { handleRowsRead } from './handleRowsRead';
import {
  handleLoadObserved,
  handleProbeAnswered,
  handleServerObserved,
} from './handleServerEvents';
import { handleStarted } from './handleStarted';
import { handleTick } from './handleTick';
import { mergeHead } from './mergeHead';
import { handleSuspectsShared } from './shareSuspects';
import { handleUsageShared } from './shareUsage';

const unchanged = (fleet: Fleet): FleetDecision => ({ state: fleet, effects: [] });

const reduce = createReducer<Fleet, FleetEvent, FleetEffect>({
  started: handleStarted,
  'datagram-received': handleDatagram,
  'message-received': handleMessage,
  listed: handleListed,
  'load-observed': handleLoadObserved,
  'probe-answered': handleProbeAnswered,
  'server-observed': handleServerObserved,
  'suspects-shared': (fleet, { suspects, atMs }) => handleSuspectsShared(fleet, suspects, atMs),
  'use-shared': (fleet, { usage }) => handleUsageShared(fleet, usage),
  'addresses-asked': answerAddresses,
  'head-committed': (fleet, { revision, atMs, seed }) =>
    fetchConfiguration(mergeHead(fleet, revision), atMs, seed),
  'drain-started': handleDrainStarted,
  'work-counted': handleWorkCounted,
  'timer-fired': (fleet, { timer, atMs, seed }) =>
    timer === TICK_TIMER ? handleTick(fleet, atMs, seed) : unchanged(fleet),
  transacted: unchanged,
  'rows-read': handleRowsRead,
});

/**
 * Handles one event.
 *
 * @param fleet the state; `createFleet` creates the initial one
 * @param event what happened, with its time and fresh randomness
 * @returns the next state, and the effects for the shell or the other sides
 */
export function reduceFleet(fleet: Fleet, event: FleetEvent): Decision<Fleet, FleetEffect> {
  if (!fleet.isStarted) return reduce(fleet, event);
  return chain(
    fleet,
    (state) => detectPause(state, event.atMs, event.seed),
    (state) => reduce(state, event),
  );
}
