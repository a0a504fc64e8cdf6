/**
 * Carries out the placement while this VM is the executor: orders engines to load the layers that lack
 * capacity. It keeps an order only until the list of servers shows its result, so a successor needs only
 * the list and the engines' reports.
 */

import type { Catalog } from '../../catalog/catalog';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { LayerOrder, PlacementCandidate } from '../../chains/placementCandidate';
import { planLayers } from '../../chains/planLayers';
import type { ListedServer } from '../../chains/layerEngine';
import type { BackendProtocol, EngineReport } from '../../gateway/backendProtocol';
import type { ServerRegistry } from '../../gateway/serverRegistry';
import type { ServerSuspicion, SuspicionReason } from '../../gateway/createSuspicions';
import type { LogFields } from '../../gateway/job';
import type { PendingOrder } from '../../placing/pendingOrder';
import { computeDueTime } from '../../placing/pendingOrder';

export interface PlacerOptions {
  readonly registry: ServerRegistry;
  readonly protocol: BackendProtocol;
  readonly catalog: () => Catalog | undefined;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

export interface Placer {
  /** Plans and sends the orders that are due; called often while this VM is the executor. */
  readonly tick: () => void;
  /** Drops all pending orders, when another VM becomes the executor. */
  readonly reset: () => void;
}

/** Time for which the engines of an unplaced model must not change before it is placed. */
const STABLE_LIST_MS = 1_000;

/** Longest time for which a model stays unplaced while engines still appear. */
const MAX_STABLE_LIST_WAIT_MS = 4_000;

/**
 * Time from which the layers of a suspected engine count as lost. Sound engines fall silent for shorter, and
 * orders that replace their layers cost the capacity of the engines that load them. It is longer than the
 * time between two probes of a VM that relies on relays.
 */
const LOST_AFTER_MS = 3_500;

/**
 * Time from which the layers of an engine that refuses connections count as lost: no process listens there, and an
 * engine starts empty.
 */
const REFUSING_LOST_AFTER_MS = 600;

/**
 * Time for which an engine that comes up empty is a reserve. Where engines are replaced one by one, the new one
 * comes up a second or so before the old one leaves.
 */
const RESERVE_MS = 2_000;

/** Delay before the engine of a failed order is planned again. */
const ORDER_RETRY_MS = 500;

interface ListState {
  readonly firstMs: number;
  readonly changedMs: number;
  readonly engines: number;
}

/** Creates a placer without pending orders. */
export function createPlacer(options: PlacerOptions): Placer {
  const { registry, protocol, catalog, now, log } = options;
  let pending = new Map<string, PendingOrder>();
  const listStates = new Map<string, ListState>();
  /** Time from which an engine is known to be empty, by incarnation, of each service. */
  const emptySinceMs = new Map<string, ReadonlyMap<string, number>>();

  const isListStable = (service: string, servers: readonly ListedServer[]): boolean => {
    if (servers.some(({ layers }) => layers !== undefined)) return true;
    const known = listStates.get(service) ?? { firstMs: now(), changedMs: now(), engines: 0 };
    const isChanged = known.engines !== servers.length;
    const next = isChanged ? { ...known, changedMs: now(), engines: servers.length } : known;
    listStates.set(service, next);
    return (
      now() - next.changedMs >= STABLE_LIST_MS || now() - next.firstMs >= MAX_STABLE_LIST_WAIT_MS
    );
  };
  const isOrderResolved = (order: PendingOrder, server: ListedServer | undefined): boolean =>
    server?.bornMs !== order.bornMs ||
    (server.layers?.from === order.layers.from && server.layers.to === order.layers.to);
  const removeFinishedOrders = (): void => {
    pending = new Map(
      [...pending].filter(
        ([id, order]) => now() < order.dueMs && !isOrderResolved(order, registry.find(id)),
      ),
    );
  };
  /** Lets the engine be planned again after a delay, whatever the outcome of its order. */
  const replanAfter = (id: string, forMs: number): void => {
    const order = pending.get(id);
    if (order !== undefined) pending.set(id, { ...order, dueMs: now() + forMs });
  };
  /** Resolves with undefined if the engine sends no report. */
  const fetchReport = async (server: ListedServer): Promise<EngineReport | undefined> => {
    registry.recordControl(server.id);
    const result = await protocol.fetchReport(server.address);
    return result.type === 'report' ? result.report : undefined;
  };
  const sendOrder = async (server: ListedServer, order: LayerOrder): Promise<void> => {
    const report = await fetchReport(server);
    const isIdle = report !== undefined && !report.isBusy && report.bornMs === server.bornMs;
    const isAsListed = report?.layers?.from === server.layers?.from;
    if (!isIdle || !isAsListed) {
      log('order held back', {
        server: order.id,
        isBusy: report?.isBusy,
        answers: report !== undefined,
      });
      replanAfter(order.id, ORDER_RETRY_MS);
      return;
    }
    registry.recordControl(server.id);
    const result = await protocol.placeLayers(server.address, order.layers, report.acceptedOrders);
    log('layers ordered', {
      server: order.id,
      from: order.layers.from,
      to: order.layers.to,
      ordersBefore: report.acceptedOrders,
      failureDomain: server.failureDomain,
      kind: server.kind,
      result: result.type,
      status: result.type === 'rejected' ? result.status : undefined,
    });
    if (result.type !== 'accepted') replanAfter(order.id, ORDER_RETRY_MS);
  };
  const lostAfterMs: Readonly<Partial<Record<SuspicionReason, number>>> = {
    restarted: 0,
    refused: REFUSING_LOST_AFTER_MS,
  };
  const isLost = ({ reason, sinceMs }: ServerSuspicion): boolean =>
    now() - sinceMs >= (lostAfterMs[reason] ?? LOST_AFTER_MS);
  const recordEmptyEngines = (service: string, servers: readonly ListedServer[]): void => {
    const known = emptySinceMs.get(service);
    const empty = servers.filter(({ layers }) => layers === undefined).map(formatIncarnation);
    emptySinceMs.set(
      service,
      new Map(empty.map((engine) => [engine, known?.get(engine) ?? now()])),
    );
  };
  const isReserve = (server: ListedServer): boolean => {
    const sinceMs = emptySinceMs.get(server.service)?.get(formatIncarnation(server));
    return sinceMs !== undefined && now() - sinceMs < RESERVE_MS;
  };
  const createCandidate = (
    server: ListedServer,
    model: PipelineModel,
    suspects: ReadonlySet<string>,
  ): PlacementCandidate => ({
    id: server.id,
    failureDomain: server.failureDomain,
    kind: server.kind ?? '',
    layers: pending.get(server.id)?.layers ?? server.layers,
    isAssignable:
      !pending.has(server.id) && !suspects.has(server.id) && registry.quietMs(server.id) === 0,
    isReserve: isReserve(server),
    loadShare: registry.loadShare(server.id, model),
  });
  const placeModel = (service: string, model: PipelineModel): void => {
    // An entry with layers that the model does not have describes no engine of it.
    const servers = registry
      .servers(service)
      .filter(({ isDraining, layers }) => !isDraining && (layers?.to ?? 0) <= model.layers);
    if (!isListStable(service, servers)) return;
    const suspicions = registry.suspicions();
    const suspects = new Set(suspicions.map(({ id }) => id));
    const lost = new Set(suspicions.filter(isLost).map(({ id }) => id));
    recordEmptyEngines(service, servers);
    const holding = servers.filter(({ id }) => !lost.has(id));
    const orders = planLayers(
      model,
      holding.map((server) => createCandidate(server, model, suspects)),
    );
    for (const order of orders) {
      const server = registry.find(order.id);
      if (server === undefined) continue;
      const sentMs = now();
      pending.set(order.id, {
        ...order,
        bornMs: server.bornMs,
        sentMs,
        dueMs: computeDueTime(model, order.layers, sentMs),
      });
      void sendOrder(server, order);
    }
  };
  return {
    tick: () => {
      removeFinishedOrders();
      for (const { name, model } of catalog()?.services.values() ?? []) {
        if (model !== undefined) placeModel(name, model);
      }
    },
    reset: () => {
      pending = new Map();
    },
  };
}

function formatIncarnation({ id, bornMs }: ListedServer): string {
  return `${id}/${bornMs}`;
}
