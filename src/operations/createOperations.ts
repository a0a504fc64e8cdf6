/** Creates the initial state of the operations component of a node. */

import { List, Map } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import {
  MIN_RECORD_INTERVAL_MS,
  MAX_RETAINED,
  MAX_RETAINED_BYTES,
  MAX_RUNNING,
  MAX_TICKETS,
} from './operationLimits';
import type { OperationsOptions, OperationsState } from './operationsState';

/**
 * Starts without retained results, configuration or reports about backend servers. New work is refused
 * until an `accepting-changed` event allows it.
 *
 * @param options identity of this VM, ticket keys and limits
 */
export function createOperations(options: OperationsOptions): OperationsState {
  const { ticketKeys } = options;
  if (ticketKeys.length === 0) throw new RangeError('At least one ticket key is needed');
  return {
    options: {
      maxRetained: MAX_RETAINED,
      maxRetainedBytes: MAX_RETAINED_BYTES,
      maxTickets: MAX_TICKETS,
      maxRunning: MAX_RUNNING,
      ...options,
    },
    configuration: createConfiguration(),
    vms: [],
    health: Map(),
    inFlight: Map(),
    isAccepting: false,
    refusalReason: 'starting',
    tickedAtMs: undefined,
    recoversAtMs: undefined,
    isDraining: false,
    isHandedOver: false,
    nextSerial: 1,
    nextCall: 1,
    serialWatermark: 0,
    tickets: Map(),
    idleTickets: List(),
    running: Map(),
    retained: Map(),
    finished: List(),
    tombstones: List(),
    retainedBytes: 0,
    dispatches: Map(),
    lookups: Map(),
    lookupStats: Map(),
    forwards: Map(),
    resolutions: Map(),
    scans: Map(),
    tableCalls: Map(),
    claims: Map(),
    releases: Map(),
    unrecorded: List(),
    batch: undefined,
    nextChunk: 1,
    chunks: List(),
    recordPauseMs: MIN_RECORD_INTERVAL_MS,
    isRecordTimerSet: false,
  };
}
