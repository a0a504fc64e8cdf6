/**
 * State of the operations component of a node: retained results, running dispatches and look-ups, calls
 * forwarded to other VMs, and results that are not yet written to the table.
 */

import type { List, Map } from 'immutable';
import type { BackendServerId } from '../backendServers/backendServer';
import type { Configuration } from '../configuration/configuration';
import type { MethodContract } from '../contracts/methodContract';
import type { RowWrite } from '../contracts/table';
import type { CallId } from '../decisions/primitive';
import type { ServerHealth } from '../requests/routerMessage';
import type { Incarnation, VmId } from '../vms/vm';
import type { CallResult, PeerVm, PlainCall } from './operationMessage';

/** Settings of the operations component. */
export interface OperationsOptions {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Secrets for tickets: the first one signs, and all of them verify. */
  readonly ticketKeys: readonly string[];
  /** Most results that this VM retains. */
  readonly maxRetained?: number;
  /** Most bytes that retained results take. */
  readonly maxRetainedBytes?: number;
  /** Most idle tickets whose numbering this VM tracks. */
  readonly maxTickets?: number;
  /** Most operations and look-ups that run at once. */
  readonly maxRunning?: number;
}

/** Key of an operation in memory and in the table: the workspace and the id that the caller gave. */
export type OperationKey = string;

/** Source of the operation's id, which determines the VM that may dispatch it. */
export type OperationOrigin =
  | { readonly type: 'ticket'; readonly serial: number; readonly sequence: number }
  /** A key that the caller chose; this VM holds the claim row in the table. */
  | { readonly type: 'claim'; readonly token: string; readonly version: number }
  /** The caller sent no id, so the call can't be repeated. */
  | { readonly type: 'anonymous' };

/** A dispatched operation that has no result yet. */
export interface RunningOperation {
  readonly key: OperationKey;
  readonly origin: OperationOrigin;
  readonly fingerprint: string;
  readonly call: PlainCall;
  readonly contract: MethodContract;
  readonly server: BackendServerId;
  /** Calls that wait for the result. */
  readonly waiters: readonly CallId[];
  /** Tries so far to resolve an ambiguous dispatch. */
  readonly resolveTries: number;
}

/** A finished operation whose result is kept in memory for repeats of the call. */
export interface RetainedOperation {
  readonly key: OperationKey;
  readonly origin: OperationOrigin;
  readonly fingerprint: string;
  readonly result: CallResult;
  readonly finishedAtMs: number;
  readonly bytes: number;
  /** Refused before any dispatch; retained only to refuse a late copy of the call as well. */
  readonly isTombstone: boolean;
}

/** Progress of the sequence numbers of one ticket. */
export interface TicketState {
  /** A number below the watermark that is not in memory may have been evicted; it is never dispatched. */
  readonly watermark: number;
  /** Operations of this ticket in memory, running or finished. */
  readonly operationCount: number;
  /** Grows each time the ticket becomes idle; identifies its latest entry in `idleTickets`. */
  readonly idleGeneration: number;
}

/** A ticket that has no operation left in memory. */
export interface IdleTicket {
  readonly serial: number;
  readonly idleGeneration: number;
}

/** A running call to a backend server. */
export type Dispatch =
  | {
      readonly type: 'operation';
      readonly key: OperationKey;
      readonly server: BackendServerId;
    }
  | { readonly type: 'repeat'; readonly key: OperationKey; readonly server: BackendServerId }
  | { readonly type: 'status'; readonly key: OperationKey; readonly server: BackendServerId }
  | {
      readonly type: 'lookup';
      readonly call: CallId;
      readonly server: BackendServerId;
      readonly startedAtMs: number;
    }
  | {
      readonly type: 'resolution';
      readonly call: CallId;
      readonly server: BackendServerId;
    };

/** An idempotent call and its tries on backend servers. */
export interface Lookup {
  readonly call: PlainCall;
  readonly contract: MethodContract;
  readonly startedAtMs: number;
  readonly tried: readonly BackendServerId[];
  readonly pending: number;
  /** Worst outcome of the tries that failed. */
  readonly worst: 'not-run' | 'failed' | 'unknown';
  readonly detail: string;
}

/** The search for the outcome of an operation whose owner or claimer can't answer. */
export interface Resolution {
  readonly call: PlainCall;
  readonly contract: MethodContract | undefined;
  /** Servers whose status look-up has not been queried yet. */
  readonly servers: readonly BackendServerId[];
  readonly reason: string;
}

/** One pass over the rows that a VM recorded; all calls that look for results of that VM share it. */
export interface Scan {
  readonly calls: readonly CallId[];
  /** Calls that arrived during the pass; the next pass serves them. */
  readonly next: readonly CallId[];
  readonly pages: number;
}

/** The claim of a key that a caller chose, while it is in progress. */
export interface Claim {
  readonly key: OperationKey;
  /** Unique to this claim; identifies its row. */
  readonly token: string;
  readonly call: PlainCall;
  readonly waiters: readonly CallId[];
  readonly tries: number;
  /** Whether an insert may have taken effect although its reply was lost. */
  readonly isAmbiguous: boolean;
}

/** A claim whose operation did not run and that is being released. */
export interface Release {
  readonly key: OperationKey;
  readonly token: string;
  readonly fingerprint: string;
  readonly tries: number;
}

/** Purpose of a pending request to the table. */
export type TableCall =
  | { readonly type: 'record' }
  | { readonly type: 'scan'; readonly prefix: string }
  | { readonly type: 'outcome-row'; readonly call: CallId }
  | { readonly type: 'claim'; readonly key: OperationKey }
  | { readonly type: 'claim-read'; readonly key: OperationKey }
  | { readonly type: 'release'; readonly key: OperationKey }
  | { readonly type: 'release-read'; readonly key: OperationKey };

/** Retry budget and latency estimate of one service. */
export interface LookupStats {
  readonly budget: number;
  /** Running estimate of the hedge quantile of response times, milliseconds. */
  readonly quantileMs: number;
}

/** A batch of results that is being written to the table; a retry writes the same rows again. */
export interface RecordBatch {
  readonly writes: readonly RowWrite[];
  readonly tries: number;
}

/** A row of results in the table. */
export interface Chunk {
  readonly key: string;
  readonly writtenAtMs: number;
}

export interface OperationsState {
  readonly options: Required<OperationsOptions>;
  readonly configuration: Configuration;
  readonly vms: readonly PeerVm[];
  readonly health: Map<BackendServerId, ServerHealth>;
  readonly inFlight: Map<BackendServerId, number>;
  readonly isAccepting: boolean;
  readonly refusalReason: string;
  /** Time of the last tick, milliseconds; undefined before the first one. */
  readonly tickedAtMs: number | undefined;
  /** Set after a pause: new work is refused until this time, milliseconds. */
  readonly recoversAtMs: number | undefined;
  readonly isDraining: boolean;
  readonly isHandedOver: boolean;
  readonly nextSerial: number;
  readonly nextCall: number;
  /** Tickets up to this serial that are not in `tickets` may have been evicted. */
  readonly serialWatermark: number;
  readonly tickets: Map<number, TicketState>;
  /** Tickets in the order in which they became idle; eviction skips those in use again. */
  readonly idleTickets: List<IdleTicket>;
  readonly running: Map<OperationKey, RunningOperation>;
  readonly retained: Map<OperationKey, RetainedOperation>;
  /** Retained operations in the order in which they finished. */
  readonly finished: List<OperationKey>;
  /** Retained operations that were refused before any dispatch, oldest first; they are evicted first. */
  readonly tombstones: List<OperationKey>;
  readonly retainedBytes: number;
  readonly dispatches: Map<CallId, Dispatch>;
  readonly lookups: Map<CallId, Lookup>;
  readonly lookupStats: Map<string, LookupStats>;
  readonly forwards: Map<CallId, PlainCall>;
  readonly resolutions: Map<CallId, Resolution>;
  readonly scans: Map<string, Scan>;
  readonly tableCalls: Map<CallId, TableCall>;
  readonly claims: Map<OperationKey, Claim>;
  readonly releases: Map<OperationKey, Release>;
  /** Results that are not in the table yet, in the order in which their operations finished. */
  readonly unrecorded: List<OperationKey>;
  readonly batch: RecordBatch | undefined;
  readonly nextChunk: number;
  /** Rows of results that this VM wrote and has not yet deleted, oldest first. */
  readonly chunks: List<Chunk>;
  /** Wait before the next batch, which grows with the rows of the last one, milliseconds. */
  readonly recordPauseMs: number;
  readonly isRecordTimerSet: boolean;
}
