/**
 * Keeps this VM's view of the backend servers: which are listed or suspected, their speed and their load.
 * The load of this VM's own requests is exact; the load of other VMs comes from their heartbeats.
 */

import type { PipelineModel } from '../chains/pipelineModel';
import { isLeaving } from './isLeaving';
import { createCrossDomainMeter } from './createCrossDomainMeter';
import type { GatewayWork, ServerLoad } from './gatewayWork';
import type { FirstEventDelays } from './createFirstEventDelays';
import type { ChainEngine, ListedServer, Stage } from '../chains/layerEngine';
import { createEngineReports } from './createEngineReports';
import type { EngineCondition } from './createEngineReports';
import { createServerNotices } from './createServerNotices';
import type { ServerNotices } from './createServerNotices';
import { createSuspicions } from './createSuspicions';
import type { ServerSuspicion, SuspicionReason } from './createSuspicions';
import type { LogFields } from './job';

export interface Reservation {
  readonly release: () => void;
}

export interface ServerRegistry extends Pick<ServerNotices, 'recordQuiet' | 'quietMs'> {
  /** Replaces the list of backend servers. */
  readonly list: (servers: readonly ListedServer[]) => void;
  readonly servers: (service: string) => readonly ListedServer[];
  readonly find: (id: string) => ListedServer | undefined;
  readonly findByAddress: (address: string) => ListedServer | undefined;
  /** Servers of a service that accept new requests: not draining, not suspected, not in back-off. */
  readonly usableServers: (service: string) => readonly ListedServer[];
  /**
   * Servers of a service of which one may be tried because every server that accepts new requests is
   * suspected: not draining, not in back-off; none while any of them is not suspected.
   */
  readonly lastResortServers: (service: string) => readonly ListedServer[];
  readonly chainEngines: (service: string, model: PipelineModel) => readonly ChainEngine[];
  /** Marks a server as suspected; notifies listeners unless it is suspected already. */
  readonly suspect: (id: string, reason: SuspicionReason, detail?: string) => void;
  readonly clearSuspicion: (id: string) => void;
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
  /**
   * Counts a request as load on the engines of a path.
   *
   * @param kept engines that already hold the request's state; nothing is transferred between them
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
  /** Called for a server that running streams should move off. */
  readonly onLeaving: (listener: (id: string) => void) => void;
}

export interface ServerRegistryOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** First-event delays by the first engine of the chain. */
  readonly firstEventDelays: FirstEventDelays;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count?: (counter: string, label: string) => void;
  /** Runs a function later; used to announce that a server can be used again. */
  readonly callLater?: (run: () => void, delayMs: number) => void;
}

/** Age at which another VM's work no longer counts; several heartbeats were missed by then. */
const WORK_VALID_MS = 3_000;

/** Step time assumed for an engine of unknown kind, as a multiple of the reference kind's. */
const UNKNOWN_STEP_FACTOR = 16;

const noop = (): void => undefined;

const NO_LOAD: ServerLoad = { reserved: 0, running: 0 };

/** Creates an empty registry. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { now, log, firstEventDelays, count = noop, callLater = noop } = options;
  let listed = new Map<string, ListedServer>();
  let byAddress = new Map<string, ListedServer>();
  const suspicions = createSuspicions({ now, log, count });
  const notices = createServerNotices({ now, log, count });
  const backOffUntilMs = new Map<string, number>();
  const reports = createEngineReports(now);
  const lastEventsMs = new Map<string, number>();
  const ownLoads = new Map<string, ServerLoad>();
  const peerWork = new Map<string, { readonly work: GatewayWork; readonly atMs: number }>();
  const changeListeners: (() => void)[] = [];
  const suspicionListeners: ((id: string) => void)[] = [];
  const leavingListeners: ((id: string) => void)[] = [];

  const crossDomainMeter = createCrossDomainMeter({
    domainOf: (id) => listed.get(id)?.failureDomain,
    now,
  });
  const notifyChange = (): void => {
    for (const listener of changeListeners) listener();
  };
  const recentWork = (): readonly GatewayWork[] => {
    const oldest = now() - WORK_VALID_MS;
    return [...peerWork.values()].flatMap(({ work, atMs }) => (atMs < oldest ? [] : work));
  };
  const totalLoad = (id: string): ServerLoad => {
    let { reserved, running } = ownLoads.get(id) ?? NO_LOAD;
    for (const { servers } of recentWork()) {
      const load = servers.get(id);
      reserved += load?.reserved ?? 0;
      running += load?.running ?? 0;
    }
    return { reserved, running };
  };
  const addLoad = (id: string, reserved: number, running: number): void => {
    const load = ownLoads.get(id) ?? NO_LOAD;
    const next = { reserved: load.reserved + reserved, running: load.running + running };
    if (next.running <= 0 && next.reserved <= 0) ownLoads.delete(id);
    else ownLoads.set(id, next);
  };
  const isInBackOff = (id: string): boolean =>
    (backOffUntilMs.get(id) ?? 0) > now() || notices.quietMs(id) > 0;
  const isUsable = ({ id, isDraining }: ListedServer): boolean =>
    !isDraining && !suspicions.has(id) && !isInBackOff(id);
  const toChainEngine = (server: ListedServer, model: PipelineModel): ChainEngine | undefined => {
    const { id, address, failureDomain, layers, slots } = server;
    if (layers === undefined) return undefined;
    const kind = model.kinds.get(server.kind ?? '');
    const heldLayers = layers.to - layers.from;
    const requestMemoryMb = (kind?.memoryMb ?? 0) - heldLayers * model.layerMb;
    const capacity = Math.max(1, requestMemoryMb / model.tokenLayerMb);
    const { reserved, running } = totalLoad(id);
    const stepFactor = (kind?.stepFactor ?? UNKNOWN_STEP_FACTOR) * reports.pace(id);
    return {
      id,
      address,
      failureDomain,
      layers,
      layerStepMs: (stepFactor * model.stepMs) / model.layers,
      capacity,
      // The load of VMs that have failed appears only in the engine's own report.
      reserved: Math.max(reserved, reports.memoryShare(id) * capacity),
      entered: running,
      slots,
      firstEventDelayMs: firstEventDelays.predictMs(id),
    };
  };
  const logLayerChange = ({ id, layers }: ListedServer): void => {
    const before = listed.get(id);
    if (before === undefined) return;
    if (before.layers?.from === layers?.from && before.layers?.to === layers?.to) return;
    log('engine layers', { server: id, from: layers?.from ?? 0, to: layers?.to ?? 0 });
  };
  const listLeaving = (servers: ReadonlyMap<string, ListedServer>): readonly string[] =>
    [...listed.values()]
      .filter((server) => !server.isDraining && isLeaving(server, servers.get(server.id)))
      .map(({ id }) => id);

  const list = (servers: readonly ListedServer[]): void => {
    const next = new Map(servers.map((server) => [server.id, notices.applyTo(server)]));
    const leaving = listLeaving(next);
    for (const server of servers) logLayerChange(server);
    suspicions.retain(next);
    for (const id of backOffUntilMs.keys()) if (!next.has(id)) backOffUntilMs.delete(id);
    reports.retain(next);
    for (const id of lastEventsMs.keys()) if (!next.has(id)) lastEventsMs.delete(id);
    listed = next;
    byAddress = new Map([...next.values()].map((server) => [server.address, server]));
    for (const id of leaving) for (const listener of leavingListeners) listener(id);
    notifyChange();
  };

  return {
    list,
    recordLeaving: (id) => {
      const server = listed.get(id);
      if (server !== undefined && notices.recordLeaving(server)) list([...listed.values()]);
    },
    recordQuiet: (id, forMs) => {
      notices.recordQuiet(id, forMs);
      callLater(notifyChange, forMs);
    },
    quietMs: notices.quietMs,
    servers: (service) => [...listed.values()].filter((server) => server.service === service),
    find: (id) => listed.get(id),
    findByAddress: (address) => byAddress.get(address),
    usableServers: (service) =>
      [...listed.values()].filter((server) => server.service === service && isUsable(server)),
    lastResortServers: (service) => {
      const servers = [...listed.values()].filter(
        (server) => server.service === service && !server.isDraining,
      );
      if (servers.some(({ id }) => !suspicions.has(id))) return [];
      return servers.filter(({ id }) => !isInBackOff(id));
    },
    chainEngines: (service, model) =>
      [...listed.values()].flatMap((server) => {
        if (server.service !== service || !isUsable(server)) return [];
        return toChainEngine(server, model) ?? [];
      }),
    suspect: (id, reason, detail) => {
      const server = listed.get(id);
      if (server === undefined || !suspicions.raise(server, reason, detail)) return;
      for (const listener of suspicionListeners) listener(id);
    },
    clearSuspicion: (id) => {
      if (suspicions.lift(id)) notifyChange();
    },
    isSuspected: suspicions.has,
    suspicions: suspicions.list,
    backOff: (id, forMs) => {
      backOffUntilMs.set(id, now() + forMs);
      callLater(notifyChange, forMs);
    },
    recordReport: reports.record,
    hasRecentReport: reports.isRecent,
    recordEvent: (id) => {
      lastEventsMs.set(id, now());
    },
    lastEventMs: (id) => lastEventsMs.get(id) ?? Number.NEGATIVE_INFINITY,
    crossingShare: (model) => {
      const tokensPerMs = recentWork().reduce(
        (sum, { crossingPerMs }) => sum + crossingPerMs,
        crossDomainMeter.tokensPerMs(),
      );
      return (tokensPerMs * model.activationBytes) / model.domainBytesPerMs;
    },
    reserve: (stages, tokens, kept) => {
      crossDomainMeter.recordRequest(stages, tokens, kept);
      const parts = stages.map(({ id, layers }) => ({
        id,
        amount: (layers.to - layers.from) * tokens,
      }));
      const entry = stages[0]?.id;
      for (const { id, amount } of parts) addLoad(id, amount, id === entry ? 1 : 0);
      let isHeld = true;
      return {
        release: () => {
          if (!isHeld) return;
          isHeld = false;
          for (const { id, amount } of parts) addLoad(id, -amount, id === entry ? -1 : 0);
          notifyChange();
        },
      };
    },
    countCrossDomainHops: crossDomainMeter.count,
    ownWork: () => ({ servers: ownLoads, crossingPerMs: crossDomainMeter.tokensPerMs() }),
    mergePeerWork: (source, work) => {
      peerWork.set(source, { work, atMs: now() });
    },
    removePeerWork: (source) => {
      peerWork.delete(source);
    },
    running: (id) => totalLoad(id).running,
    loadShare: (id, model) => {
      const server = listed.get(id);
      const engine = server === undefined ? undefined : toChainEngine(server, model);
      return engine === undefined ? 0 : engine.reserved / engine.capacity;
    },
    onChange: (listener) => {
      changeListeners.push(listener);
    },
    onSuspected: (listener) => {
      suspicionListeners.push(listener);
    },
    onLeaving: (listener) => {
      leavingListeners.push(listener);
    },
  };
}
