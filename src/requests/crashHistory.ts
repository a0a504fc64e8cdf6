/**
 * Recent crashes of backend servers and the contents that ran on them. This limits content that
 * crashes servers to two of them: after the first crash it is a suspect and gets one more attempt, on
 * servers that run no other suspect; after the second it is refused for a while under any request id.
 */

import type { Map } from 'immutable';
import type { BackendServerId } from '../backendServers/backendServer';
import type { CrashTally } from '../crashes/crashTally';

/** Crashes attributed to one content. */
export interface SuspectRecord extends CrashTally {
  /** True once it produced tokens after its crash; another crash still counts as its second. */
  readonly isCleared: boolean;
}

/** A recent crash; several in one failure domain are an outage, which is attributed to no content. */
export interface RecentCrash {
  readonly server: BackendServerId;
  readonly atMs: number;
}

export interface CrashHistory {
  /** By fingerprint of the content. */
  readonly records: Map<string, SuspectRecord>;
  readonly crashes: readonly RecentCrash[];
}
