/**
 * What this VM knows of the backend servers: who is listed, who is suspected, how fast each works and
 * how much is on it. Own work is counted exactly; the other VMs' work comes with their heartbeats.
 */

import type { PipelineModel } from '../chains/pipelineModel';
import { isLeaving } from './isLeaving';
import { createCrossingMeter } from './createCrossingMeter';
import type { GatewayWork, ServerLoad } from './gatewayWork';
import type { StartTimes } from './createStartTimes';
import type { ChainEngine, ListedServer, Stage } from '../chains/layerEngine';

/** A server that does not answer, until it does or starts anew. */
export interface ServerSuspicion {
  readonly id: string;
  readonly bornMs: number;
  readonly sinceMs: number;
}

export interface ServerReport {
  /** Step time against what its kind should take. */
  readonly pace: number;
  /** Part of the memory for requests that is taken, 0 to 1. */
  readonly memoryShare: number;
}

export interface Reservation {
  readonly release: () => void;
}

export interface ServerBoard {
  readonly list: (servers: readonly ListedServer[]) => void;
  readonly servers: (service: string) => readonly ListedServer[];
  readonly find: (id: string) => ListedServer | undefined;
  readonly findByAddress: (address: string) => ListedServer | undefined;
  /** Servers of a service that may be given work now. */
  readonly usable: (service: string) => readonly ListedServer[];
  readonly chainEngines: (service: string, model: PipelineModel) => readonly ChainEngine[];
  /** Marks a server as lost; listeners are told once for each incarnation. */
  readonly suspect: (id: string, reason: string) => void;
  readonly clear: (id: string) => void;
  readonly suspicions: () => readonly ServerSuspicion[];
  /** Gives a server nothing new for a while, without calling it lost. */
  readonly rest: (id: string, forMs: number) => void;
  /** Takes what an engine said of itself. */
  readonly noteReport: (id: string, report: ServerReport) => void;
  /** The engine has said something of itself lately. */
  readonly hasReport: (id: string) => boolean;
  /** Notes that a stream which entered at this engine had an event. */
  readonly noteEvent: (id: string) => void;
  /** When a stream that entered there last had an event, monotonic, milliseconds. */
  readonly lastEventMs: (id: string) => number;
  /** @param kept engines that hold the request's state already, so that nothing is sent between them */
  readonly reserve: (
    stages: readonly Stage[],
    tokens: number,
    kept?: ReadonlySet<string>,
  ) => Reservation;
  /** Part of the links between failure domains in use by activations, over all VMs. */
  readonly crossingShare: (model: PipelineModel) => number;
  /** Links between failure domains that a path crosses. */
  readonly countCrossings: (stages: readonly Stage[]) => number;
  readonly ownWork: () => GatewayWork;
  /** Takes the work of one other VM, or the sum of several, known by a name. */
  readonly learnWork: (source: string, work: GatewayWork) => void;
  readonly forgetWork: (source: string) => void;
  readonly running: (id: string) => number;
  /** Part of an engine's memory for requests that is promised, over all VMs. */
  readonly loadShare: (id: string, model: PipelineModel) => number;
  /** Called when room or servers may have become available. */
  readonly onChange: (listener: () => void) => void;
  readonly onLost: (listener: (id: string) => void) => void;
  /** Called for a server that is leaving. */
  readonly onLeaving: (listener: (id: string) => void) => void;
}

export interface ServerBoardOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Waits for first events, by the engine that was entered. */
  readonly startTimes: StartTimes;
  readonly onBelief: (
    message: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ) => void;
}

/** Age at which another VM's work no longer counts, milliseconds: some heartbeats were missed. */
const WORK_VALID_MS = 3_000;

/** Age at which a reported pace no longer counts, milliseconds. */
const PACE_VALID_MS = 4_000;

/** Age at which reported memory no longer counts, milliseconds: requests end within about a second. */
const MEMORY_VALID_MS = 800;

/** Step time assumed for an engine whose kind is not known, against the reference kind. */
const UNKNOWN_STEP_FACTOR = 16;

const NO_LOAD: ServerLoad = { reserved: 0, running: 0 };

/** Creates an empty board. */
export function createServerBoard(options: ServerBoardOptions): ServerBoard {
  const { now, onBelief, startTimes } = options;
  let listed = new Map<string, ListedServer>();
  let byAddress = new Map<string, ListedServer>();
  const suspected = new Map<string, ServerSuspicion>();
  const restingUntil = new Map<string, number>();
  const reports = new Map<string, ServerReport & { readonly atMs: number }>();
  const eventsMs = new Map<string, number>();
  const own = new Map<string, ServerLoad>();
  const others = new Map<string, { readonly work: GatewayWork; readonly atMs: number }>();
  const changeListeners: (() => void)[] = [];
  const lostListeners: ((id: string) => void)[] = [];
  const leavingListeners: ((id: string) => void)[] = [];

  const crossings = createCrossingMeter({
    domainOf: (id) => listed.get(id)?.failureDomain,
    now,
  });
  const notifyChange = (): void => {
    for (const listener of changeListeners) listener();
  };
  const recentWork = (): readonly GatewayWork[] => {
    const oldest = now() - WORK_VALID_MS;
    return [...others.values()].flatMap(({ work, atMs }) => (atMs < oldest ? [] : work));
  };
  const totalLoad = (id: string): ServerLoad => {
    let { reserved, running } = own.get(id) ?? NO_LOAD;
    for (const { servers } of recentWork()) {
      const load = servers.get(id);
      reserved += load?.reserved ?? 0;
      running += load?.running ?? 0;
    }
    return { reserved, running };
  };
  const addLoad = (id: string, reserved: number, running: number): void => {
    const load = own.get(id) ?? NO_LOAD;
    const next = { reserved: load.reserved + reserved, running: load.running + running };
    if (next.running <= 0 && next.reserved <= 0) own.delete(id);
    else own.set(id, next);
  };
  const isUsable = ({ id, isDraining }: ListedServer): boolean =>
    !isDraining && !suspected.has(id) && (restingUntil.get(id) ?? 0) <= now();
  const paceOf = (id: string): number => {
    const known = reports.get(id);
    return known !== undefined && now() - known.atMs < PACE_VALID_MS ? known.pace : 1;
  };
  const memoryShareOf = (id: string): number => {
    const known = reports.get(id);
    return known !== undefined && now() - known.atMs < MEMORY_VALID_MS ? known.memoryShare : 0;
  };
  const toChainEngine = (server: ListedServer, model: PipelineModel): ChainEngine | undefined => {
    const { id, address, failureDomain, layers, slots } = server;
    if (layers === undefined) return undefined;
    const kind = model.kinds.get(server.kind ?? '');
    const held = layers.to - layers.from;
    const freeMb = (kind?.memoryMb ?? 0) - held * model.layerMb;
    const capacity = Math.max(1, freeMb / model.tokenLayerMb);
    const { reserved, running } = totalLoad(id);
    const stepFactor = (kind?.stepFactor ?? UNKNOWN_STEP_FACTOR) * paceOf(id);
    return {
      id,
      address,
      failureDomain,
      layers,
      layerStepMs: (stepFactor * model.stepMs) / model.layers,
      capacity,
      // Work that no living VM knows of is only in the engine's own report.
      reserved: Math.max(reserved, memoryShareOf(id) * capacity),
      entered: running,
      slots,
      startDelayMs: startTimes.predictMs(id),
    };
  };
  const noteLayers = ({ id, layers }: ListedServer): void => {
    const before = listed.get(id);
    if (before === undefined) return;
    if (before.layers?.from === layers?.from && before.layers?.to === layers?.to) return;
    onBelief('engine layers', { server: id, from: layers?.from ?? 0, to: layers?.to ?? 0 });
  };
  const noteLeaving = (servers: ReadonlyMap<string, ListedServer>): readonly string[] =>
    [...listed.values()]
      .filter((server) => !server.isDraining && isLeaving(server, servers.get(server.id)))
      .map(({ id }) => id);

  return {
    list: (servers) => {
      const next = new Map(servers.map((server) => [server.id, server]));
      const leaving = noteLeaving(next);
      for (const server of servers) noteLayers(server);
      for (const [id, suspicion] of suspected) {
        const server = next.get(id);
        if (server?.bornMs !== suspicion.bornMs) suspected.delete(id);
      }
      for (const id of restingUntil.keys()) if (!next.has(id)) restingUntil.delete(id);
      for (const id of reports.keys()) if (!next.has(id)) reports.delete(id);
      for (const id of eventsMs.keys()) if (!next.has(id)) eventsMs.delete(id);
      listed = next;
      byAddress = new Map(servers.map((server) => [server.address, server]));
      for (const id of leaving) for (const listener of leavingListeners) listener(id);
      notifyChange();
    },
    servers: (service) => [...listed.values()].filter((server) => server.service === service),
    find: (id) => listed.get(id),
    findByAddress: (address) => byAddress.get(address),
    usable: (service) =>
      [...listed.values()].filter((server) => server.service === service && isUsable(server)),
    chainEngines: (service, model) =>
      [...listed.values()].flatMap((server) => {
        if (server.service !== service || !isUsable(server)) return [];
        return toChainEngine(server, model) ?? [];
      }),
    suspect: (id, reason) => {
      const server = listed.get(id);
      if (server === undefined || suspected.has(id)) return;
      suspected.set(id, { id, bornMs: server.bornMs, sinceMs: now() });
      onBelief('server suspected', { server: id, address: server.address, reason });
      for (const listener of lostListeners) listener(id);
    },
    clear: (id) => {
      if (!suspected.delete(id)) return;
      onBelief('server answers again', { server: id });
      notifyChange();
    },
    suspicions: () => [...suspected.values()],
    rest: (id, forMs) => {
      restingUntil.set(id, now() + forMs);
    },
    noteReport: (id, { pace, memoryShare }) => {
      reports.set(id, { pace, memoryShare, atMs: now() });
    },
    hasReport: (id) => {
      const known = reports.get(id);
      return known !== undefined && now() - known.atMs < PACE_VALID_MS;
    },
    noteEvent: (id) => {
      eventsMs.set(id, now());
    },
    lastEventMs: (id) => eventsMs.get(id) ?? Number.NEGATIVE_INFINITY,
    crossingShare: (model) => {
      const tokensPerMs = recentWork().reduce(
        (sum, { crossingPerMs }) => sum + crossingPerMs,
        crossings.perMs(),
      );
      return (tokensPerMs * model.activationBytes) / model.domainBytesPerMs;
    },
    reserve: (stages, tokens, kept) => {
      crossings.add(stages, tokens, kept);
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
    countCrossings: crossings.count,
    ownWork: () => ({ servers: own, crossingPerMs: crossings.perMs() }),
    learnWork: (source, work) => {
      others.set(source, { work, atMs: now() });
    },
    forgetWork: (source) => {
      others.delete(source);
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
    onLost: (listener) => {
      lostListeners.push(listener);
    },
    onLeaving: (listener) => {
      leavingListeners.push(listener);
    },
  };
}
