/**
 * Keeps the chain of one running stream whole: finds out which of its engines are lost, and has the
 * first engine run the stream over others from then on.
 */

import { computeCrossDomainCost } from '../../chains/computeCrossDomainCost';
import type { ListedServer, Stage } from '../../chains/layerEngine';
import type { LayerRange } from '../../engines/engine';
import type { PipelineModel } from '../../chains/pipelineModel';
import { replaceStages } from '../../chains/replaceStages';
import type { OrderResult } from '../../gateway/backendProtocol';
import type { GatewayHost, Job } from '../../gateway/job';

export interface ChainRepair {
  readonly includes: (server: string) => boolean;
  /** Replaces lost engines; breaks the stream off where the first is lost. */
  readonly repair: (lost: ReadonlySet<string>, cause: string) => Promise<void>;
  /** Asks all engines of the chain and replaces those that are lost. */
  readonly probe: () => Promise<void>;
  /** When the engines were asked last, monotonic, milliseconds. */
  readonly probedMs: () => number;
  /** When the chain was changed last, monotonic, milliseconds. */
  readonly repairedMs: () => number;
  readonly lastCause: () => string | undefined;
  /** Gives back the room that the stream was promised. */
  readonly release: () => void;
}

export interface ChainRepairOptions {
  readonly job: Job;
  /** Undefined for a service whose servers answer alone. */
  readonly model: PipelineModel | undefined;
  readonly stages: readonly Stage[];
  /** Tokens that the request is expected to hold at its end. */
  readonly tokens: number;
  readonly isOver: () => boolean;
  readonly hasEvents: () => boolean;
  /** Since the last event, milliseconds. */
  readonly silentMs: () => number;
  readonly onBroken: (detail: string) => void;
}

/** Rest of an engine that had no room for a repair, milliseconds. */
const REPAIR_REST_MS = 200;

/** Status of an order about a run that the engine does not have. */
const NO_SUCH_RUN = 404;

/** Takes the room on the stages and watches nothing yet. */
export function createChainRepair(host: GatewayHost, options: ChainRepairOptions): ChainRepair {
  const { job, model, tokens, isOver } = options;
  const { registry: board, protocol, now } = host;
  const [entry] = options.stages;
  let { stages } = options;
  let reservation = board.reserve(stages, tokens);
  let isRepairing = false;
  let probedMs = Number.NEGATIVE_INFINITY;
  let repairedMs = Number.NEGATIVE_INFINITY;
  let lastCause: string | undefined;

  const findPath = (
    pipeline: PipelineModel,
    lost: ReadonlySet<string>,
  ): readonly Stage[] | undefined =>
    replaceStages({
      stages,
      lost,
      engines: board.chainEngines(job.profile.name, pipeline),
      tokens,
      fromDomain: host.failureDomain,
      domainDelayMs: pipeline.domainDelayMs,
      crossDomainMs: computeCrossDomainCost(pipeline, board.crossingShare(pipeline), true),
      excluded: new Set(),
      domains: new Map(
        stages.map(({ id }) => [id, board.find(id)?.failureDomain ?? host.failureDomain]),
      ),
    });
  const takeResult = (path: readonly Stage[], result: OrderResult): void => {
    host.count('chain_repairs', result.type);
    if (result.type === 'accepted') {
      reservation.release();
      const kept = new Set(stages.map(({ id }) => id));
      stages = path;
      reservation = board.reserve(stages, tokens, kept);
      repairedMs = now();
      return;
    }
    const status = result.type === 'rejected' ? result.status : undefined;
    const address = result.type === 'rejected' ? result.address : undefined;
    const blamed = board.findByAddress(address ?? '');
    host.log('chain repair failed', {
      id: job.head.id,
      result: result.type,
      status,
      address,
      server: blamed?.id,
      wasKept: stages.some((stage) => stage.address === address),
      isEntry: entry?.address === address,
      isDraining: blamed?.isDraining,
    });
    if (blamed !== undefined) {
      board.backOff(blamed.id, REPAIR_REST_MS);
      // Its own report keeps the next path from it for as long as it is full.
      void host.probes.ask(blamed.id);
    } else if (status === NO_SUCH_RUN && options.hasEvents()) options.onBroken('run is gone');
  };
  /** Engines of the chain that are suspected, or that the first engine waits for. */
  const findLost = (waitedFor: ReadonlySet<string>): ReadonlySet<string> => {
    const suspected = new Set(board.suspicions().map(({ id }) => id));
    const lost = stages.filter(({ id, address }) => suspected.has(id) || waitedFor.has(address));
    return new Set(lost.map(({ id }) => id));
  };
  /** Engines after the first that take no part in a new path: they drain, or gave up their layers. */
  const findLeaving = (): readonly string[] =>
    stages
      .slice(1)
      .filter(({ id, layers }) => !mayServe(board.find(id), layers))
      .map(({ id }) => id);
  const repair = async (blamed: ReadonlySet<string>, cause: string): Promise<void> => {
    if (isOver() || isRepairing || model === undefined || entry === undefined) return;
    // A path that still names another engine that is lost or leaving is rejected as a whole.
    const lost = new Set([...blamed, ...findLost(new Set()), ...findLeaving()]);
    if (lost.has(entry.id)) {
      options.onBroken(cause);
      return;
    }
    const path = findPath(model, lost);
    lastCause = cause;
    host.log('chain repair', {
      id: job.head.id,
      lost: [...lost].join(' '),
      cause,
      found: path !== undefined,
      silentMs: Math.round(options.silentMs()),
    });
    if (path === undefined) return;
    isRepairing = true;
    const result = await protocol.changePath(entry.address, job.head.id, path);
    isRepairing = false;
    if (!isOver()) takeResult(path, result);
  };
  return {
    includes: (server) => stages.some(({ id }) => id === server),
    repair,
    probe: async () => {
      probedMs = now();
      const [first] = await Promise.all(stages.map(({ id }) => host.probes.ask(id)));
      if (isOver()) return;
      const stalled = first?.type === 'report' ? first.report.stalled : [];
      const own = stalled.filter(({ requestId }) => requestId === job.head.id);
      const lost = findLost(new Set(own.map(({ address }) => address)));
      if (lost.size > 0) await repair(lost, 'silent');
    },
    probedMs: () => probedMs,
    repairedMs: () => repairedMs,
    lastCause: () => lastCause,
    release: () => {
      reservation.release();
    },
  };
}

function mayServe(server: ListedServer | undefined, wanted: LayerRange): boolean {
  if (server === undefined || server.isDraining || server.layers === undefined) return false;
  return server.layers.from <= wanted.from && server.layers.to >= wanted.to;
}
