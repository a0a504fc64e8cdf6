/** A caller's request inside the gateway, and the services that all parts of the gateway share. */

import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { RouteRule, ServiceProfile } from '../catalog/catalog';
import type { PeerRecord } from '../peers/peer';
import type { BackendProtocol, RequestHead } from './backendProtocol';
import type { ContentSuspicions } from './contentSuspicions';
import type { ServerRegistry } from './serverRegistry';
import type { RetryBudgets } from './createRetryBudgets';
import type { PartitionDetector } from './createPartitionDetector';
import type { ForwardedRequest } from './forwardedRequest';
import type { FirstEventDelays } from './createFirstEventDelays';
import type { ServerProbes } from './createServerProbes';
import type { SilenceAlarms } from '../evidence/createSilenceAlarms';
import type { StreamWatch } from './streamWatch';
import type { ConnectionTurns } from '../intake/connectionTurns';
import type { ReplyMemory } from '../replies/createReplyMemory';

export interface Job {
  readonly head: RequestHead;
  readonly rule: RouteRule;
  readonly profile: ServiceProfile;
  readonly workspace: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
  /** Fingerprint of what a repeated request has in common with the first: its caller, path and body. */
  readonly content: string;
  /** All that it has in common with requests that may end servers, `content` among it. */
  readonly contents: readonly string[];
  readonly response: ServerResponse;
  /** Monotonic, milliseconds. */
  readonly arrivedMs: number;
  /** Estimated time that the request waited for the processor before it was read, milliseconds. */
  readonly readDelayMs: number;
  /** Set if another VM took the request from the caller. */
  readonly forwarded: ForwardedRequest | undefined;
  /** Version of the catalog by which the request was accepted. */
  readonly catalogVersion: number;
  /** The caller has probably sent the request before, so the answer is already late. */
  readonly isRetry: boolean;
  /** Time at which the caller's deadline or the route's timeout expires, monotonic, milliseconds. */
  readonly expiresMs: number;
  /** Records that the request is being sent to a server. */
  readonly markSent: () => void;
  /** Whether a server may have received the request. */
  readonly wasSent: () => boolean;
  /** Whether the response has ended or the caller has left. */
  readonly isOver: () => boolean;
  /** Called once, when the response is sent in full, the caller leaves or the work is cancelled. */
  readonly onClose: (listener: () => void) => void;
  /** Ends all work on the request, which has its answer. */
  readonly cancel: () => void;
}

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Latencies that are counted in histograms. */
export type Latency = 'first_event' | 'event_gap' | 'call' | 'read_delay';

export interface GatewayHost {
  readonly protocol: BackendProtocol;
  readonly registry: ServerRegistry;
  /** Contents that may have ended servers. */
  readonly contentSuspicions: ContentSuspicions;
  readonly retryBudgets: RetryBudgets;
  readonly probes: ServerProbes;
  /** Tells whether this VM reaches any backend server. */
  readonly partition: PartitionDetector;
  readonly watch: StreamWatch;
  readonly firstEventDelays: FirstEventDelays;
  /** Tells whether the silence of a stream is a reason to ask its engines. */
  readonly silenceAlarms: SilenceAlarms;
  /** Memory of all replies of backend servers and other VMs. */
  readonly replyMemory: ReplyMemory;
  /** Processor time of the replies that are read whole. */
  readonly replyTurns: ConnectionTurns;
  /** Counts what a response keeps for a caller that reads slowly; called after each write. */
  readonly countUnsent: (response: ServerResponse) => void;
  /** Name of this VM. */
  readonly vm: string;
  readonly failureDomain: string;
  /** Chooses a VM that may reach the backend servers, of those that accept callers; undefined if there is none. */
  readonly choosePeer: (except: ReadonlySet<string>) => PeerRecord | undefined;
  /** Time for which a draining backend server still serves, milliseconds. */
  readonly drainMs: number;
  /** Whether this VM has just started and knows little of the load on the backend servers. */
  readonly isRecentlyStarted: () => boolean;
  /** Number of VMs that choose among the same backend servers. */
  readonly vms: () => number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
  readonly observe: (histogram: Latency, ms: number) => void;
}
