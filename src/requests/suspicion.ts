/**
 * Contents that ran on a backend server when it crashed. A content that crashes what it runs on is
 * held to two servers: the first crash makes it a suspect, which gets one more try, alone among
 * suspects; the second one has it refused for a while, under whatever id it comes.
 */

import type { Map } from 'immutable';
import type { BackendServerId } from '../backendServers/backendServer';

/** What is held against one content. */
export interface SuspectRecord {
  /** Backend servers that crashed under it, as far as this VM saw them. */
  readonly servers: readonly BackendServerId[];
  /** Crashes, those that other VMs saw included. */
  readonly crashes: number;
  readonly lastCrashAtMs: number;
  /** True once it brought tokens after its crash; another crash still counts as its second. */
  readonly isCleared: boolean;
}

/** A crash of late; many in one failure domain are an outage, which no content is blamed for. */
export interface RecentCrash {
  readonly server: BackendServerId;
  readonly atMs: number;
}

export interface Suspicion {
  /** By fingerprint of the content. */
  readonly records: Map<string, SuspectRecord>;
  readonly crashes: readonly RecentCrash[];
}
