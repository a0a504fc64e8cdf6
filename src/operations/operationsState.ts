/**
 * State of the operations side of a node: remembered operations, running dispatches and look-ups,
 * calls forwarded to other VMs, and what is still to be written to the table.
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

/** Settings of the operations side. */
export interface OperationsOptions {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Secrets that sign tickets: the first signs, all of them are accepted. */
  readonly ticketKeys: readonly string[];
  /** Results that this VM remembers. */
  readonly maxRemembered?: number;
  /** Bytes that remembered results take. */
  readonly maxRememberedBytes?: number;
  /** Tickets whose numbering this VM follows. */
  readonly maxTickets?: number;
  /** Operations and look-ups that run at once. */
  readonly maxRunning?: number;
}

/** Names one operation in memory: the workspace and the id that the caller gave. */
export type OperationKey = string;

/** Where the operation's id comes from, and so who may dispatch it. */
export type OperationOrigin =
  | { readonly type: 'ticket'; readonly serial: number; readonly sequence: number }
  /** A caller's own key, claimed by a row of the table. */
  | { readonly type: 'claim'; readonly token: string; readonly version: number }
  /** No id came: it can't be repeated. */
  | { readonly type: 'anonymous' };

/** A dispatched operation that has no result yet. */
export interface RunningOperation {
  readonly key: OperationKey;
  readonly origin: OperationOrigin;
  readonly fingerprint: string;
  readonly call: PlainCall;
  readonly contract: MethodContract;
  readonly server: BackendServerId;
  /** Callers that get the result. */
  readonly waiters: readonly CallId[];
  /** Tries to settle an ambiguous dispatch so far. */
  readonly settleTries: number;
}

/** A finished operation. */
export interface RememberedOperation {
  readonly key: OperationKey;
  readonly origin: OperationOrigin;
  readonly fingerprint: string;
  readonly result: CallResult;
  readonly finishedAtMs: number;
  readonly bytes: number;
  /** Refused before any dispatch: kept only so that a late copy is refused as well. */
  readonly isShut: boolean;
}

/** What one ticket's numbers have come to. */
export interface TicketUse {
  /** A number below it that is not in memory was forgotten and is never dispatched. */
  readonly watermark: number;
  /** Operations of this ticket in memory, running or finished. */
  readonly held: number;
  /** Grows each time the ticket falls idle; tells its entries in `idleTickets` apart. */
  readonly idleMark: number;
}

/** A ticket that fell idle. */
export interface IdleTicket {
  readonly serial: number;
  readonly idleMark: number;
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

/** An idempotent call with its tries. */
export interface Lookup {
  readonly call: PlainCall;
  readonly contract: MethodContract;
  readonly startedAtMs: number;
  readonly tried: readonly BackendServerId[];
  readonly pending: number;
  /** The worst that is known of the tries that failed. */
  readonly worst: 'not-run' | 'failed' | 'unknown';
  readonly detail: string;
}

/** The search for the outcome of an operation whose home can't be reached. */
export interface Resolution {
  readonly call: PlainCall;
  readonly contract: MethodContract | undefined;
  /** Servers whose status look-up is still to be asked. */
  readonly servers: readonly BackendServerId[];
  readonly reason: string;
}

/** One pass over the rows of a home that is gone; all calls for that home share it. */
export interface Scan {
  readonly calls: readonly CallId[];
  /** Calls that came while the pass was running; the next one is for them. */
  readonly next: readonly CallId[];
  readonly pages: number;
}

/** A caller's own key that is being claimed. */
export interface Claim {
  readonly key: OperationKey;
  /** Unique to this claim; tells its row from another's. */
  readonly token: string;
  readonly call: PlainCall;
  readonly waiters: readonly CallId[];
  readonly tries: number;
  /** Whether an insert may have taken effect unseen. */
  readonly isAmbiguous: boolean;
}

/** A claim that was never dispatched and is to be released. */
export interface Release {
  readonly key: OperationKey;
  readonly token: string;
  readonly fingerprint: string;
  readonly tries: number;
}

/** What an answer of the table is for. */
export type TableCall =
  | { readonly type: 'record' }
  | { readonly type: 'scan'; readonly prefix: string }
  | { readonly type: 'outcome-row'; readonly call: CallId }
  | { readonly type: 'claim'; readonly key: OperationKey }
  | { readonly type: 'claim-read'; readonly key: OperationKey }
  | { readonly type: 'release'; readonly key: OperationKey }
  | { readonly type: 'release-read'; readonly key: OperationKey };

/** Retry budget and pace of one service. */
export interface LookupPace {
  readonly budget: number;
  /** Running estimate of the hedge quantile of answer times, milliseconds. */
  readonly quantileMs: number;
}

/** A batch of results on its way to the table; a retry writes the same rows again. */
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
  /** When its own timer last fired; undefined before the first time, milliseconds. */
  readonly tickedAtMs: number | undefined;
  /** Set after a pause: nothing new is sent until then, milliseconds. */
  readonly doubtsUntilMs: number | undefined;
  readonly isDraining: boolean;
  readonly isHandedOver: boolean;
  readonly nextSerial: number;
  readonly nextCall: number;
  /** Tickets up to this serial that are not in `tickets` were forgotten. */
  readonly serialWatermark: number;
  readonly tickets: Map<number, TicketUse>;
  /** Tickets in the order in which they fell idle; those in use again are passed over. */
  readonly idleTickets: List<IdleTicket>;
  readonly running: Map<OperationKey, RunningOperation>;
  readonly remembered: Map<OperationKey, RememberedOperation>;
  /** Remembered operations in the order in which they finished. */
  readonly finished: List<OperationKey>;
  /** Remembered numbers that were shut by a refusal, in order; they are forgotten first. */
  readonly shut: List<OperationKey>;
  readonly rememberedBytes: number;
  readonly dispatches: Map<CallId, Dispatch>;
  readonly lookups: Map<CallId, Lookup>;
  readonly paces: Map<string, LookupPace>;
  readonly forwards: Map<CallId, PlainCall>;
  readonly resolutions: Map<CallId, Resolution>;
  readonly scans: Map<string, Scan>;
  readonly tableCalls: Map<CallId, TableCall>;
  readonly claims: Map<OperationKey, Claim>;
  readonly releases: Map<OperationKey, Release>;
  /** Results that are not in the table yet, in the order in which they finished. */
  readonly unrecorded: List<OperationKey>;
  readonly batch: RecordBatch | undefined;
  readonly nextChunk: number;
  /** Rows of results that this VM wrote and has not deleted yet, oldest first. */
  readonly chunks: List<Chunk>;
  /** Pause that the last batch earned, milliseconds. */
  readonly recordPauseMs: number;
  readonly isRecordTimerSet: boolean;
}
