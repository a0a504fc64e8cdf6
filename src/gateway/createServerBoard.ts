/**
 * What this VM knows of the backend servers: who is listed, who is suspected, how fast each works and
 * how much is on it. Own work is counted exactly; the other VMs' work comes with their heartbeats.
 */

import type { PipelineModel } from '../chains/pipelineModel';
import { createRateMeter } from './createRateMeter';
import type { StartTimes } from './createStartTimes';
import type { ChainEngine, ListedServer, Stage } from '../chains/layerEngine';

/** Work of one VM on one backend server. */
export interface ServerLoad {
  /** Tokens times layers that running requests are expected to take. */
  readonly reserved: number;
  /** Requests that were sent there and are not over. */
  readonly running: number;
}

export type ServerLoads = ReadonlyMap<string, ServerLoad>;

/** A server that does not answer, until it does or starts anew. */
export interface ServerSuspicion {
  readonly id: string;
  readonly bornMs: number;
  readonly sinceMs: number;
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
  readonly notePace: (id: string, pace: number) => void;
  /** Notes that a stream which entered at this engine had an event. */
  readonly noteEvent: (id: string) => void;
  /** When a stream that entered there last had an event, monotonic, milliseconds. */
  readonly lastEventMs: (id: string) => number;
  readonly reserve: (stages: readonly Stage[], tokens: number) => Reservation;
  /** Part of the links between failure domains in use by activations, over all VMs. */
  readonly crossingShare: (model: PipelineModel) => number;
  readonly ownLoads: () => ServerLoads;
  readonly learnLoads: (vm: string, loads: ServerLoads) => void;
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

/** Age at which another VM's loads no longer count, milliseconds: some heartbeats were missed. */
const LOADS_VALID_MS = 3_000;

/** Age at which a reported pace no longer counts, milliseconds. */
const PACE_VALID_MS = 4_000;

/** Step time assumed for an engine whose kind is not known, against the reference kind. */
const UNKNOWN_STEP_FACTOR = 16;

/** Time over which the use of the links between failure domains is measured, milliseconds. */
const CROSSING_WINDOW_MS = 1_000;

const NO_LOAD: ServerLoad = { reserved: 0, running: 0 };

/** Creates an empty board. */
export function createServerBoard(options: ServerBoardOptions): ServerBoard {
  const { now, onBelief, startTimes } = options;
  let listed = new Map<string, ListedServer>();
  let byAddress = new Map<string, ListedServer>();
  const suspected = new Map<string, ServerSuspicion>();
  const restingUntil = new Map<string, number>();
  const paces = new Map<string, { readonly pace: number; readonly atMs: number }>();
  const eventsMs = new Map<string, number>();
  const own = new Map<string, ServerLoad>();
  const others = new Map<string, { readonly loads: ServerLoads; readonly atMs: number }>();
  const changeListeners: (() => void)[] = [];
  const lostListeners: ((id: string) => void)[] = [];
  const leavingListeners: ((id: string) => void)[] = [];

  const crossings = createRateMeter(CROSSING_WINDOW_MS);
  const countCrossings = (stages: readonly Stage[]): number =>
    stages.filter((stage, index) => {
      const before = listed.get(stages[index - 1]?.id ?? '')?.failureDomain;
      return before !== undefined && before !== listed.get(stage.id)?.failureDomain;
    }).length;

  const notifyChange = (): void => {
    for (const listener of changeListeners) listener();
  };
  const totalLoad = (id: string): ServerLoad => {
    const oldest = now() - LOADS_VALID_MS;
    let { reserved, running } = own.get(id) ?? NO_LOAD;
    for (const { loads, atMs } of others.values()) {
      const load = atMs < oldest ? undefined : loads.get(id);
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
    const known = paces.get(id);
    return known !== undefined && now() - known.atMs < PACE_VALID_MS ? known.pace : 1;
  };
  const toChainEngine = (server: ListedServer, model: PipelineModel): ChainEngine | undefined => {
    const { id, address, failureDomain, layers, slots } = server;
    if (layers === undefined) return undefined;
    const kind = model.kinds.get(server.kind ?? '');
    const held = layers.to - layers.from;
    const freeMb = (kind?.memoryMb ?? 0) - held * model.layerMb;
    const { reserved, running } = totalLoad(id);
    const stepFactor = (kind?.stepFactor ?? UNKNOWN_STEP_FACTOR) * paceOf(id);
    return {
      id,
      address,
      failureDomain,
      layers,
      layerStepMs: (stepFactor * model.stepMs) / model.layers,
      capacity: Math.max(1, freeMb / model.tokenLayerMb),
      reserved,
      entered: running,
      slots,
      startDelayMs: startTimes.predictMs(id),
    };
  };
  const noteLeaving = (servers: ReadonlyMap<string, ListedServer>): readonly string[] =>
    [...listed.values()]
      .filter((server) => !server.isDraining)
      .filter(({ id }) => servers.get(id)?.isDraining ?? true)
      .map(({ id }) => id);

  return {
    list: (servers) => {
      const next = new Map(servers.map((server) => [server.id, server]));
      const leaving = noteLeaving(next);
      for (const [id, suspicion] of suspected) {
        const server = next.get(id);
        if (server?.bornMs !== suspicion.bornMs) suspected.delete(id);
      }
      for (const id of restingUntil.keys()) if (!next.has(id)) restingUntil.delete(id);
      for (const id of paces.keys()) if (!next.has(id)) paces.delete(id);
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
    notePace: (id, pace) => {
      paces.set(id, { pace, atMs: now() });
    },
    noteEvent: (id) => {
      eventsMs.set(id, now());
    },
    lastEventMs: (id) => eventsMs.get(id) ?? Number.NEGATIVE_INFINITY,
    crossingShare: (model) => {
      const bytesPerMs = (crossings.perMs(now()) * model.activationBytes) / model.domainBytesPerMs;
      return bytesPerMs * (1 + others.size);
    },
    reserve: (stages, tokens) => {
      crossings.add(countCrossings(stages) * tokens, now());
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
    ownLoads: () => own,
    learnLoads: (vm, loads) => {
      others.set(vm, { loads, atMs: now() });
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
