/**
 * What comes to and goes from the router side of a node: the part that takes model requests in,
 * admits them, chooses routes, checks every token and recovers from failed stages.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Configuration } from '../configuration/configuration';
import type {
  AddressedStage,
  CacheEvent,
  KvExport,
  LoadReport,
  StreamMessage,
  StreamOrder,
} from '../contracts/engineContract';
import type { Occurrence, SharedEffect, TimerFired } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import type { WorkspaceId } from '../workspaces/workspace';
import type { Request, RequestId } from './request';
import type { AttemptNumber, TokenFrame } from './tokenFrame';

/** Content that ran on a backend server when it crashed, and how often. */
export interface Suspect {
  readonly fingerprint: string;
  readonly crashes: number;
  /** The one backend server that a suspect may run on, where one is designated. */
  readonly designated?: BackendServerId;
  /** The backend servers that crashed under it, so that one crash counts once on every VM. */
  readonly servers?: readonly BackendServerId[];
  /** Age since the last crash, milliseconds; ages travel, not clock readings. */
  readonly ageMs: number;
}

/** Whether a backend server may get new work, as the fleet side sees it. */
export interface ServerHealth {
  readonly server: BackendServerId;
  /** False while it leaves, is ejected, or no fresh word of it has come. */
  readonly isUsable: boolean;
  /** Share of its usual load while it is let back in, 0 to 1. */
  readonly weight: number;
}

/** Rates of one workspace on the other VMs, summed, with the age of the sum. */
export interface WorkspaceUse {
  readonly workspace: WorkspaceId;
  readonly tokensPerSecond: number;
  readonly requestsPerSecond: number;
  readonly running: number;
  readonly ageMs: number;
}

export type RouterEvent =
  | ({ readonly type: 'configuration-changed'; readonly configuration: Configuration } & Occurrence)
  | ({ readonly type: 'request-received'; readonly request: Request } & Occurrence)
  | ({
      readonly type: 'stream-message';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly message: StreamMessage;
    } & Occurrence)
  /** `unreachable`: the connection was never made, so nothing of the order left this VM. */
  | ({
      readonly type: 'stream-closed';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly cause: 'ended' | 'reset' | 'unreachable';
      readonly detail: string;
    } & Occurrence)
  /** Answers `find-kv`: exports that surviving or failed stages left behind. */
  | ({
      readonly type: 'kv-found';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly exports: readonly KvExport[];
      /** Engines that answered at all, with or without an export. */
      readonly answered: readonly BackendServerId[];
    } & Occurrence)
  | ({ readonly type: 'caller-left'; readonly request: RequestId } & Occurrence)
  /** The fleet saw this backend server crash or restart, with or without a stream on it. */
  | ({ readonly type: 'server-crashed'; readonly server: BackendServerId } & Occurrence)
  | ({
      readonly type: 'load-reported';
      readonly report: LoadReport;
      readonly ageMs: number;
    } & Occurrence)
  | ({ readonly type: 'cache-event'; readonly event: CacheEvent } & Occurrence)
  | ({
      readonly type: 'servers-changed';
      readonly servers: readonly ServerHealth[];
    } & Occurrence)
  | ({
      readonly type: 'use-learned';
      readonly uses: readonly WorkspaceUse[];
      /** VMs that accept new work, this one included. */
      readonly acceptingVms: number;
    } & Occurrence)
  | ({ readonly type: 'suspects-learned'; readonly suspects: readonly Suspect[] } & Occurrence)
  /** While false every new request is refused as not-run with this reason. */
  | ({
      readonly type: 'accepting-changed';
      readonly isAccepting: boolean;
      readonly reason: string;
    } & Occurrence)
  | TimerFired;

export type RouterEffect =
  | { readonly type: 'open-stream'; readonly order: StreamOrder }
  | {
      readonly type: 'cancel-stream';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly route: readonly AddressedStage[];
    }
  | {
      readonly type: 'find-kv';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly stages: readonly AddressedStage[];
    }
  | { readonly type: 'deliver'; readonly request: RequestId; readonly frame: TokenFrame }
  | {
      readonly type: 'finish';
      readonly request: RequestId;
      readonly finish: 'stop' | 'length';
      readonly attempts: number;
    }
  /** Ends the request; where tokens were delivered the caller sees an explicit error event. */
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal }
  | { readonly type: 'share-suspects'; readonly suspects: readonly Suspect[] }
  /** This VM's own rates, for the digests. */
  | { readonly type: 'share-use'; readonly uses: readonly WorkspaceUse[] }
  /** Own evidence on a backend server, for its health. */
  | {
      readonly type: 'observe-server';
      readonly server: BackendServerId;
      readonly observation: 'served' | 'failed' | 'slow' | 'crashed' | 'leaving';
    }
  | SharedEffect;
