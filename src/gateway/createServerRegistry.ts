/**
 * Keeps this VM's view of the backend servers: which are listed or suspected, their speed and their load.
 */

import type { PipelineModel } from '../chains/pipelineModel';
import { isLeaving } from './isLeaving';
import { createCrossDomainMeter } from './createCrossDomainMeter';
import type { FirstEventDelays } from './createFirstEventDelays';
import type { ChainEngine, ListedServer } from '../chains/layerEngine';
import { createEngineReports } from './createEngineReports';
import { createPassages } from './createPassages';
import { createRequestLimits } from './createRequestLimits';
import type { RequestLimits } from './createRequestLimits';
import { createServerLoads } from './createServerLoads';
import { createServerNotices } from './createServerNotices';
import { createSuspicions, TIMEOUT_REASONS } from './createSuspicions';
import { listSilentlyGone } from './listSilentlyGone';
import type { SuspicionReason } from './createSuspicions';
import type { LogFields } from './job';
import type { ServerRegistry } from './serverRegistry';

export interface ServerRegistryOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** First-event delays by the first engine of the chain. */
  readonly firstEventDelays: FirstEventDelays;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count?: (counter: string, label: string) => void;
  /** Runs a function later; used to announce that a server can be used again. */
  readonly callLater?: (run: () => void, delayMs: number) => void;
  /** Whether answers may have waited in this process, so that their absence says nothing. */
  readonly isLate?: () => boolean;
  /** Limits that servers announce; by default, this VM has all of each. */
  readonly limits?: RequestLimits;
}

/** Step time assumed for an engine of unknown kind, as a multiple of the reference kind's. */
const UNKNOWN_STEP_FACTOR = 16;

const noop = (): void => undefined;

/** Reasons that tell of the end of an incarnation, unless it answers again. */
const END_REASONS: ReadonlySet<SuspicionReason> = new Set(['refused', 'restarted']);

/** Creates an empty registry. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { now, log, firstEventDelays, count = noop, callLater = noop } = options;
  const { isLate = () => false } = options;
  const { limits = createRequestLimits({ now, log, count }) } = options;
  let listed = new Map<string, ListedServer>();
  let byAddress = new Map<string, ListedServer>();
  const suspicions = createSuspicions({ now, log, count });
  const notices = createServerNotices({ now, log, count });
  const backOffUntilMs = new Map<string, number>();
  const reports = createEngineReports(now);
  const lastEventsMs = new Map<string, number>();
  const passages = createPassages(now);
  const loads = createServerLoads(now);
  const changeListeners: (() => void)[] = [];
  const suspicionListeners: ((id: string) => void)[] = [];
  const endListeners: ((server: ListedServer) => void)[] = [];
  const answerListeners: ((server: ListedServer) => void)[] = [];
  const leavingListeners: ((id: string) => void)[] = [];

  const crossDomainMeter = createCrossDomainMeter({
    domainOf: (id) => listed.get(id)?.failureDomain,
    now,
  });
  const notifyChange = (): void => {
    for (const listener of changeListeners) listener();
  };
  const notifyEnd = (server: ListedServer): void => {
    for (const listener of endListeners) listener(server);
  };
  const isInBackOff = (id: string): boolean =>
    (backOffUntilMs.get(id) ?? 0) > now() || notices.quietMs(id) > 0;
  const isUsable = ({ id, isDraining }: ListedServer): boolean =>
    !isDraining && !suspicions.has(id) && !isInBackOff(id);
  const mayReceive = (server: ListedServer): boolean => limits.waitMs(server, 'request') === 0;
  const toChainEngine = (server: ListedServer, model: PipelineModel): ChainEngine | undefined => {
    const { id, address, failureDomain, layers, slots } = server;
    if (layers === undefined || layers.to > model.layers) return undefined;
    const kind = model.kinds.get(server.kind ?? '');
    const heldLayers = layers.to - layers.from;
    const requestMemoryMb = (kind?.memoryMb ?? 0) - heldLayers * model.layerMb;
    const capacity = Math.max(1, requestMemoryMb / model.tokenLayerMb);
    const { reserved, running } = loads.total(id);
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
      acceptsRequests: mayReceive(server),
    };
  };
  /** Counts a request, and announces when the server takes the next. */
  const spendOnRequest = (server: ListedServer): void => {
    limits.spend(server);
    const waitMs = limits.waitMs(server, 'request');
    if (waitMs > 0 && waitMs < Infinity) callLater(notifyChange, Math.ceil(waitMs) + 1);
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
    listSilentlyGone(suspicions.list(), listed, next).forEach(notifyEnd);
    for (const server of servers) logLayerChange(server);
    suspicions.retain(next);
    for (const id of backOffUntilMs.keys()) if (!next.has(id)) backOffUntilMs.delete(id);
    reports.retain(next);
    passages.retain(next);
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
    recordLimit: (id, { limit, sentMs, source }) => {
      const server = listed.get(id);
      if (server !== undefined) limits.record({ server, limit, sentMs, source });
    },
    allServers: () => [...listed.values()],
    servers: (service) => [...listed.values()].filter((server) => server.service === service),
    find: (id) => listed.get(id),
    findByAddress: (address) => byAddress.get(address),
    limitWaitMs: (id, send) => {
      const server = listed.get(id);
      return server === undefined ? 0 : limits.waitMs(server, send);
    },
    recordControl: (id) => {
      const server = listed.get(id);
      if (server !== undefined) limits.spend(server);
    },
    usableServers: (service) =>
      [...listed.values()].filter(
        (server) => server.service === service && isUsable(server) && mayReceive(server),
      ),
    lastResortServers: (service) => {
      const servers = [...listed.values()].filter(
        (server) => server.service === service && !server.isDraining,
      );
      if (servers.some(({ id }) => !suspicions.has(id))) return [];
      return servers.filter((server) => !isInBackOff(server.id) && mayReceive(server));
    },
    chainEngines: (service, model) =>
      [...listed.values()].flatMap((server) => {
        if (server.service !== service || !isUsable(server)) return [];
        return toChainEngine(server, model) ?? [];
      }),
    suspect: (id, reason, detail) => {
      const server = listed.get(id);
      if (server === undefined) return;
      if (TIMEOUT_REASONS.has(reason) && isLate()) {
        count('suspicions_held_back', reason);
        return;
      }
      if (END_REASONS.has(reason)) notifyEnd(server);
      if (!suspicions.raise(server, reason, detail)) return;
      for (const listener of suspicionListeners) listener(id);
    },
    clearSuspicion: (id) => {
      if (!suspicions.lift(id)) return;
      const server = listed.get(id);
      if (server !== undefined) for (const listener of answerListeners) listener(server);
      notifyChange();
    },
    dropSuspicion: (id) => {
      if (suspicions.lift(id, 'suspicion dropped')) notifyChange();
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
    recordPassage: passages.record,
    isKnownToWork: (id) => passages.isRecent(id) && reports.isRecent(id) && !suspicions.has(id),
    crossingShare: (model) => {
      const tokensPerMs = loads.peerCrossingPerMs() + crossDomainMeter.tokensPerMs();
      return (tokensPerMs * model.activationBytes) / model.domainBytesPerMs;
    },
    reserve: (stages, tokens, kept) => {
      crossDomainMeter.recordRequest(stages, tokens, kept);
      const parts = stages.map(({ id, layers }) => ({
        id,
        amount: (layers.to - layers.from) * tokens,
      }));
      const entry = stages[0]?.id;
      for (const { id, amount } of parts) loads.add(id, amount, id === entry ? 1 : 0);
      const limited = kept === undefined ? listed.get(entry ?? '') : undefined;
      if (limited !== undefined) spendOnRequest(limited);
      let isHeld = true;
      const release = (): void => {
        if (!isHeld) return;
        isHeld = false;
        for (const { id, amount } of parts) loads.add(id, -amount, id === entry ? -1 : 0);
        notifyChange();
      };
      return {
        release,
        cancel: () => {
          if (isHeld && limited !== undefined) limits.refund(limited);
          release();
        },
      };
    },
    countCrossDomainHops: crossDomainMeter.count,
    ownWork: () => ({ servers: loads.own(), crossingPerMs: crossDomainMeter.tokensPerMs() }),
    mergePeerWork: loads.mergePeerWork,
    removePeerWork: loads.removePeerWork,
    running: (id) => loads.total(id).running,
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
    onEnded: (listener) => {
      endListeners.push(listener);
    },
    onAnswer: (listener) => {
      answerListeners.push(listener);
    },
    onLeaving: (listener) => {
      leavingListeners.push(listener);
    },
  };
}
