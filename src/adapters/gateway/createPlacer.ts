/**
 * Carries out the placement: keeps every engine that can hold layers at work on the layers that are
 * short, for as long as this VM is the executor. What was ordered is remembered only until the list
 * shows it, so a successor needs nothing but the list and the engines' own reports.
 */

import type { Catalog } from '../../catalog/catalog';
import type { PipelineModel } from '../../chains/pipelineModel';
import type { LayerOrder, PlacementCandidate } from '../../chains/placementCandidate';
import { planLayers } from '../../chains/planLayers';
import type { ListedServer } from '../../chains/layerEngine';
import type { BackendProtocol, EngineReport } from '../../gateway/backendProtocol';
import type { ServerRegistry } from '../../gateway/createServerRegistry';
import type { LogFields } from '../../gateway/job';
import type { PendingOrder } from '../../placing/pendingOrder';
import { computeDueTime } from '../../placing/pendingOrder';

export interface PlacerOptions {
  readonly board: ServerRegistry;
  readonly protocol: BackendProtocol;
  readonly catalog: () => Catalog | undefined;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

export interface Placer {
  /** Looks for work; called often while this VM is the executor. */
  readonly tick: () => void;
  /** Forgets what was ordered, when another VM takes over. */
  readonly reset: () => void;
}

/** Time for which the list of an unplaced model must stand still before it is placed, milliseconds. */
const SETTLE_MS = 1_000;

/** Longest time that a model is left unplaced while engines still appear, milliseconds. */
const MAX_SETTLE_MS = 4_000;

/** Pause before an order that failed is planned anew, milliseconds. */
const FAILED_ORDER_MS = 500;

interface Settling {
  readonly firstMs: number;
  readonly changedMs: number;
  readonly engines: number;
}

/** Creates a placer without work. */
export function createPlacer(options: PlacerOptions): Placer {
  const { board, protocol, catalog, now, log } = options;
  let pending = new Map<string, PendingOrder>();
  const settling = new Map<string, Settling>();

  const isSettled = (service: string, servers: readonly ListedServer[]): boolean => {
    if (servers.some(({ layers }) => layers !== undefined)) return true;
    const known = settling.get(service) ?? { firstMs: now(), changedMs: now(), engines: 0 };
    const isChanged = known.engines !== servers.length;
    const next = isChanged ? { ...known, changedMs: now(), engines: servers.length } : known;
    settling.set(service, next);
    return now() - next.changedMs >= SETTLE_MS || now() - next.firstMs >= MAX_SETTLE_MS;
  };
  const isListed = (order: PendingOrder, server: ListedServer | undefined): boolean =>
    server?.bornMs !== order.bornMs ||
    (server.layers?.from === order.layers.from && server.layers.to === order.layers.to);
  const dropFinished = (): void => {
    pending = new Map(
      [...pending].filter(([id, order]) => now() < order.dueMs && !isListed(order, board.find(id))),
    );
  };
  /** Plans the engine anew after a while, whatever became of its order. */
  const planAgainAfter = (id: string, forMs: number): void => {
    const order = pending.get(id);
    if (order !== undefined) pending.set(id, { ...order, dueMs: now() + forMs });
  };
  /** Undefined where the engine does not answer. */
  const reportOf = async (server: ListedServer): Promise<EngineReport | undefined> => {
    const result = await protocol.fetchReport(server.address);
    return result.type === 'report' ? result.report : undefined;
  };
  const carryOut = async (server: ListedServer, order: LayerOrder): Promise<void> => {
    const report = await reportOf(server);
    const isIdle = report !== undefined && !report.isBusy && report.bornMs === server.bornMs;
    const isAsListed = report?.layers?.from === server.layers?.from;
    if (!isIdle || !isAsListed) {
      log('order held back', {
        server: order.id,
        isBusy: report?.isBusy,
        answers: report !== undefined,
      });
      planAgainAfter(order.id, FAILED_ORDER_MS);
      return;
    }
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
    if (result.type !== 'accepted') planAgainAfter(order.id, FAILED_ORDER_MS);
  };
  const toCandidate = (
    server: ListedServer,
    model: PipelineModel,
    lost: ReadonlySet<string>,
  ): PlacementCandidate => ({
    id: server.id,
    failureDomain: server.failureDomain,
    kind: server.kind ?? '',
    layers: pending.get(server.id)?.layers ?? server.layers,
    isAssignable: !pending.has(server.id) && !lost.has(server.id),
    loadShare: board.loadShare(server.id, model),
  });
  const place = (service: string, model: PipelineModel): void => {
    const servers = board.servers(service).filter(({ isDraining }) => !isDraining);
    if (!isSettled(service, servers)) return;
    const lost = new Set(board.suspicions().map(({ id }) => id));
    const present = servers.filter(({ id }) => !lost.has(id));
    const orders = planLayers(
      model,
      present.map((server) => toCandidate(server, model, lost)),
    );
    for (const order of orders) {
      const server = board.find(order.id);
      if (server === undefined) continue;
      const sentMs = now();
      pending.set(order.id, {
        ...order,
        bornMs: server.bornMs,
        sentMs,
        dueMs: computeDueTime(model, order.layers, sentMs),
      });
      void carryOut(server, order);
    }
  };
  return {
    tick: () => {
      dropFinished();
      for (const { name, model } of catalog()?.services.values() ?? []) {
        if (model !== undefined) place(name, model);
      }
    },
    reset: () => {
      pending = new Map();
    },
  };
}
