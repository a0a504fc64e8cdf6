/**
 * Events and effects of a node's router component, which admits model requests, chooses routes,
 * verifies every token and recovers from failed stages.
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
  /** The only backend server that the suspect may run on, if one is designated. */
  readonly designated?: BackendServerId;
  /** Backend servers that crashed while running it; VMs use them to count each crash once. */
  readonly servers?: readonly BackendServerId[];
  /** Age of the last crash, milliseconds; VMs exchange ages because their clocks are not comparable. */
  readonly ageMs: number;
}

/** Whether a backend server may receive new work, according to the fleet component. */
export interface ServerHealth {
  readonly server: BackendServerId;
  /** False while it is leaving or ejected, or while no recent report of it has arrived. */
  readonly isUsable: boolean;
  /** Fraction of its usual load while it is reinstated gradually, 0 to 1. */
  readonly weight: number;
}

/** Usage of one workspace: one VM's own, or the sum over the other VMs, with its age. */
export interface WorkspaceUsage {
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
  /** `unreachable`: no connection was established, so no part of the order left this VM. */
  | ({
      readonly type: 'stream-closed';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly cause: 'ended' | 'reset' | 'unreachable';
      readonly detail: string;
    } & Occurrence)
  /** Answers `find-kv` with the KV exports that surviving or failed stages kept. */
  | ({
      readonly type: 'kv-found';
      readonly request: RequestId;
      readonly attempt: AttemptNumber;
      readonly exports: readonly KvExport[];
      /** Engines that answered, with or without an export. */
      readonly answered: readonly BackendServerId[];
    } & Occurrence)
  | ({ readonly type: 'caller-left'; readonly request: RequestId } & Occurrence)
  /** The fleet component detected a crash or restart, whether or not a stream was open on the server. */
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
      readonly usage: readonly WorkspaceUsage[];
      /** VMs that accept new work, this one included. */
      readonly acceptingVms: number;
    } & Occurrence)
  | ({ readonly type: 'suspects-learned'; readonly suspects: readonly Suspect[] } & Occurrence)
  /** While `isAccepting` is false, every new request is refused as not-run with this reason. */
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
  /** Ends the request; if tokens were delivered, the caller receives an explicit error event. */
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal }
  | { readonly type: 'share-suspects'; readonly suspects: readonly Suspect[] }
  /** This VM's own usage, to be sent in digests. */
  | { readonly type: 'share-use'; readonly usage: readonly WorkspaceUsage[] }
  /** This VM's own observation of a backend server, for its health evaluation. */
  | {
      readonly type: 'observe-server';
      readonly server: BackendServerId;
      readonly observation: 'served' | 'failed' | 'slow' | 'crashed' | 'leaving';
    }
  | SharedEffect;
