/** State that one VM keeps about backend servers. */

import type { Map as ImmutableMap } from 'immutable';
import type { BackendServer, BackendServerId } from '../backendServers/backendServer';
import type { ServerHealth } from '../requests/routerMessage';
import type { LoadReport } from '../contracts/engineContract';

/** The latest report of a backend server, received directly or from a watcher. */
export interface ServerReport {
  readonly state: 'live' | 'leaving';
  /** When the server itself reported it, this node's clock, milliseconds. */
  readonly observedAtMs: number;
  /** Hash of the server's incarnation. */
  readonly incarnation: number;
  /** Source: an own probe, the watcher that probed, or a VM that relayed the watcher's report. */
  readonly via: 'own' | 'watcher' | 'relay';
}

/** Failures seen by this VM's own requests, and the resulting ejections. */
export interface FailureHistory {
  readonly failuresInRow: number;
  readonly ejections: number;
  /** End of the current ejection; 0 if never ejected, milliseconds. */
  readonly ejectedUntilMs: number;
  /** When it recovered from a crash or restart, since when its weight grows; 0 for never, milliseconds. */
  readonly recoveredAtMs: number;
}

export interface ServerRecord {
  readonly report: ServerReport | undefined;
  readonly load: LoadReport | undefined;
  readonly loadAtMs: number;
  /** When it first reported `leaving`, milliseconds. */
  readonly leavingAtMs: number;
  /** When this VM last probed it; -Infinity for never, milliseconds. */
  readonly probedAtMs: number;
  /** Earlier reports are ignored because the server crashed since, milliseconds. */
  readonly notBeforeMs: number;
  readonly failureHistory: FailureHistory;
}

/** State of all backend servers on one VM. */
export interface Servers {
  readonly records: ImmutableMap<BackendServerId, ServerRecord>;
  /** The configured servers whose health this VM evaluates: see `refreshViews`. */
  readonly scope: readonly BackendServer[];
  /** The servers that this VM probes as a watcher. */
  readonly watched: readonly BackendServerId[];
  /** Whether `scope` and `watched` have to be recomputed. */
  readonly isStale: boolean;
  readonly nextWatchAtMs: number;
  /** When the digests of the last round are sent; Infinity if they have been. */
  readonly digestAtMs: number;
  readonly nextRelayAtMs: number;
  readonly nextEvaluationAtMs: number;
  /** Health in the last `servers-changed` effect, to report only changes. */
  readonly told: readonly ServerHealth[];
}
