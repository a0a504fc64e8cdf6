/** What one VM knows of a backend server. */

import type { Map as ImmutableMap } from 'immutable';
import type { BackendServer, BackendServerId } from '../backendServers/backendServer';
import type { ServerHealth } from '../requests/routerMessage';
import type { LoadReport } from '../contracts/engineContract';

/** The newest word of a backend server, its own or that of a watcher. */
export interface ServerReport {
  readonly state: 'live' | 'leaving';
  /** When the server itself said so, this node's clock, milliseconds. */
  readonly observedAtMs: number;
  /** Hash of the server's incarnation. */
  readonly incarnation: number;
  /** How the word came: by an own probe, from the watcher that probed, or passed on. */
  readonly via: 'own' | 'watcher' | 'relay';
}

/** Evidence of this VM's own requests, and what follows from it. */
export interface FailureHistory {
  readonly failuresInRow: number;
  readonly ejections: number;
  /** Out until then; 0 where it is not ejected, milliseconds. */
  readonly ejectedUntilMs: number;
  /** Came back after a crash or restart then, and is let in gradually; 0 where it never did. */
  readonly recoveredAtMs: number;
}

export interface ServerRecord {
  readonly report: ServerReport | undefined;
  readonly load: LoadReport | undefined;
  readonly loadAtMs: number;
  /** When it was first seen to leave; told of first for a while, milliseconds. */
  readonly leavingAtMs: number;
  /** When this VM last probed it; -Infinity for never, milliseconds. */
  readonly probedAtMs: number;
  /** Word from before then does not count: the server crashed since, milliseconds. */
  readonly notBeforeMs: number;
  readonly failureHistory: FailureHistory;
}

/** The state of backend servers on one VM. */
export interface Servers {
  readonly records: ImmutableMap<BackendServerId, ServerRecord>;
  /** The configured servers that this VM keeps word of: those of its region. */
  readonly scope: readonly BackendServer[];
  /** Those that this VM probes as a watcher. */
  readonly watched: readonly BackendServerId[];
  /** Whether `scope` and `watched` have to be worked out anew. */
  readonly isStale: boolean;
  readonly nextWatchAtMs: number;
  /** When the digests of the last round go out; Infinity where they did. */
  readonly digestAtMs: number;
  readonly nextRelayAtMs: number;
  readonly nextEvaluationAtMs: number;
  /** What `servers-changed` last told, to tell only of changes. */
  readonly told: readonly ServerHealth[];
}
