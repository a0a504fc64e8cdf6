/** This VM's view of the backend servers, as the parts of the gateway use it. */

import type { PipelineModel } from '../chains/pipelineModel';
import type { GatewayWork } from './gatewayWork';
import type { ChainEngine, ListedServer, Stage } from '../chains/layerEngine';
import type { EngineCondition } from './createEngineReports';
import type { LimitedSend, LimitStatement } from './createRequestLimits';
import type { ServerNotices } from './createServerNotices';
import type { ServerSuspicion, SuspicionReason } from './createSuspicions';

export interface Reservation {
  readonly release: () => void;
  /** Releases it without a request sent, so that none counts towards a limit of the server. */
  readonly cancel: () => void;
}

export interface ServerRegistry extends Pick<ServerNotices, 'recordQuiet' | 'quietMs'> {
  /** Replaces the list of backend servers. */
  readonly list: (servers: readonly ListedServer[]) => void;
  /** Records what a reply of a server states about its limit of requests. */
  readonly recordLimit: (id: string, statement: Omit<LimitStatement, 'server'>) => void;
  /**
   * Time until a limit that the server announces lets this VM send, milliseconds; 0 without a limit, Infinity
   * where other VMs have all of it.
   */
  readonly limitWaitMs: (id: string, send: LimitedSend) => number;
  /** Counts a query or an order towards the limit of the server; requests count as they are reserved. */
  readonly recordControl: (id: string) => void;
  readonly allServers: () => readonly ListedServer[];
  readonly servers: (service: string) => readonly ListedServer[];
  readonly find: (id: string) => ListedServer | undefined;
  readonly findByAddress: (address: string) => ListedServer | undefined;
  /**
   * Servers of a service that accept new requests: not draining, not suspected, not in back-off, and not at the
   * limit that they announce.
   */
  readonly usableServers: (service: string) => readonly ListedServer[];
  /**
   * Servers of a service of which one may be tried because every server that accepts new requests is
   * suspected: not draining, not in back-off, not at a limit; none while any of them is not suspected.
   */
  readonly lastResortServers: (service: string) => readonly ListedServer[];
  readonly chainEngines: (service: string, model: PipelineModel) => readonly ChainEngine[];
  /** Marks a server as suspected; notifies listeners unless it is suspected already. */
  readonly suspect: (id: string, reason: SuspicionReason, detail?: string) => void;
  /** Clears the suspicion of a server that has answered; notifies listeners. */
  readonly clearSuspicion: (id: string) => void;
  /** Clears a suspicion that has another explanation; whether the server has ended stays as it was. */
  readonly dropSuspicion: (id: string) => void;
  readonly isSuspected: (id: string) => boolean;
  readonly suspicions: () => readonly ServerSuspicion[];
  /** Treats the server as draining, as its own reply says, until it is listed with another start. */
  readonly recordLeaving: (id: string) => void;
  /** Sends a server no new requests for `forMs`, without suspecting it. */
  readonly backOff: (id: string, forMs: number) => void;
  /** Stores an engine's own report. */
  readonly recordReport: (id: string, report: EngineCondition) => void;
  /** Whether a recent report of the engine is known. */
  readonly hasRecentReport: (id: string) => boolean;
  /** Records an event of a stream whose chain starts at this engine. */
  readonly recordEvent: (id: string) => void;
  /** Time of the last event of any stream whose chain starts there, monotonic, milliseconds. */
  readonly lastEventMs: (id: string) => number;
  /** Records the engines of the chain from which an event has arrived. */
  readonly recordPassage: (ids: readonly string[]) => void;
  /** Whether an event has just passed the engine, and its condition is known from a recent report. */
  readonly isKnownToWork: (id: string) => boolean;
  /**
   * Counts a request as load on the engines of a path, and towards the limit of the first if it is to be sent.
   *
   * @param kept engines that already hold the state of a running request; nothing is transferred between them
   */
  readonly reserve: (
    stages: readonly Stage[],
    tokens: number,
    kept?: ReadonlySet<string>,
  ) => Reservation;
  /**
   * Share of the bandwidth between failure domains that activations use, over all VMs; above 1 if more is
   * sent than fits.
   */
  readonly crossingShare: (model: PipelineModel) => number;
  /** Number of hops of a path that lead to another failure domain. */
  readonly countCrossDomainHops: (stages: readonly Stage[]) => number;
  readonly ownWork: () => GatewayWork;
  /**
   * Stores the latest work of another VM, or the sum of several VMs, in place of the previous work of the
   * same source.
   */
  readonly mergePeerWork: (source: string, work: GatewayWork) => void;
  readonly removePeerWork: (source: string) => void;
  readonly running: (id: string) => number;
  /** Share of an engine's request memory that is reserved, over all VMs. */
  readonly loadShare: (id: string, model: PipelineModel) => number;
  /** Called when capacity or servers may have become available. */
  readonly onChange: (listener: () => void) => void;
  /** Called for a server that becomes suspected. */
  readonly onSuspected: (listener: (id: string) => void) => void;
  /** Called, maybe repeatedly, for an incarnation that refuses connections or has been replaced. */
  readonly onEnded: (listener: (server: ListedServer) => void) => void;
  /** Called for a suspected server that answers. */
  readonly onAnswer: (listener: (server: ListedServer) => void) => void;
  /** Called for a server that running streams should move off. */
  readonly onLeaving: (listener: (id: string) => void) => void;
}
