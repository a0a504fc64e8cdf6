/** The operations side of a node that has just started. */

import { List, Map } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import {
  MIN_RECORD_INTERVAL_MS,
  MAX_REMEMBERED,
  MAX_REMEMBERED_BYTES,
  MAX_RUNNING,
  MAX_TICKETS,
} from './operationLimits';
import type { OperationsOptions, OperationsState } from './operationsState';

/**
 * Starts with nothing remembered, no configuration and no word of any backend server; new work is
 * refused until `accepting-changed` says otherwise.
 *
 * @param options who this VM is, and the keys that sign tickets
 */
export function createOperations(options: OperationsOptions): OperationsState {
  const { ticketKeys } = options;
  if (ticketKeys.length === 0) throw new RangeError('At least one ticket key is needed');
  return {
    options: {
      maxRemembered: MAX_REMEMBERED,
      maxRememberedBytes: MAX_REMEMBERED_BYTES,
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
    doubtsUntilMs: undefined,
    isDraining: false,
    isHandedOver: false,
    nextSerial: 1,
    nextCall: 1,
    serialWatermark: 0,
    tickets: Map(),
    idleTickets: List(),
    running: Map(),
    remembered: Map(),
    finished: List(),
    shut: List(),
    rememberedBytes: 0,
    dispatches: Map(),
    lookups: Map(),
    paces: Map(),
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
