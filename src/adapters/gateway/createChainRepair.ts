/**
 * Repairs the chain of one running stream: detects engines that have failed or are leaving, and orders the
 * first engine to continue the stream over replacements.
 */

import { computeCrossDomainCost } from '../../chains/computeCrossDomainCost';
import { jitterSpeeds } from '../../chains/jitterSpeeds';
import type { ListedServer, Stage } from '../../chains/layerEngine';
import type { LayerRange } from '../../engines/engine';
import type { PipelineModel } from '../../chains/pipelineModel';
import { replaceStages } from '../../chains/replaceStages';
import type { OrderResult } from '../../gateway/backendProtocol';
import type { Reservation } from '../../gateway/serverRegistry';
import type { GatewayHost, Job } from '../../gateway/job';
import { listUnanswered } from './listUnanswered';

export type RepairCause = 'engine leaving' | 'engine lost' | 'silent' | 'unanswered';

export interface ChainRepair {
  readonly includes: (server: string) => boolean;
  /** Ids of the engines of the chain. */
  readonly engines: () => readonly string[];
  /** Replaces failed engines, unless the first engine is one of them. */
  readonly repair: (failedIds: ReadonlySet<string>, cause: RepairCause) => Promise<void>;
  /** Probes the first engine, and all that are not known to work otherwise; replaces those that have failed. */
  readonly probe: () => Promise<void>;
  /** Whether the first engine has not answered the last probe, though others have. */
  readonly isEntryUnanswered: () => boolean;
  /** Time of the last probe, monotonic, milliseconds. */
  readonly probedMs: () => number;
  /** Time of the last successful repair, monotonic, milliseconds. */
  readonly repairedMs: () => number;
  readonly lastCause: () => string | undefined;
  /** Releases the capacity that is reserved for the stream. */
  readonly release: () => void;
}

export interface ChainRepairOptions {
  readonly job: Job;
  /** Undefined for a service without chains, where one server answers the whole request. */
  readonly model: PipelineModel | undefined;
  readonly stages: readonly Stage[];
  /** Capacity that is reserved on the stages. */
  readonly reservation: Reservation;
  /** Expected tokens of prompt and answer at the end of the request. */
  readonly tokens: number;
  readonly isOver: () => boolean;
  readonly hasEvents: () => boolean;
  /** Time since the last event, milliseconds. */
  readonly silentMs: () => number;
  /** Starts another run beside this one, within a failure domain; returns whether one runs. */
  readonly tryMoveNear: () => boolean;
  /** Called when the first engine no longer knows the run; its last events may still be on their way. */
  readonly onRunGone: () => void;
}

/** Cause of a repair that comes with notice, and so for one stream at a time. */
const PLANNED_CAUSE: RepairCause = 'engine leaving';

/** Back-off of an engine that rejected a repair. */
const REPAIR_BACKOFF_MS = 200;

/**
 * Time after which an engine counts as lost for one silent stream if other engines of its chain have answered.
 * Answers take a few milliseconds; the repair should still be in time for the next event.
 */
const SLOW_ANSWER_MS = 60;

/** All streams of a lost engine are repaired at the same moment, so they spread as far as the speeds allow. */
const REPAIR_JITTER_WIDTH = 1;

/** HTTP status of an order for a request that the engine does not run. */
const NO_SUCH_RUN = 404;

/** Takes over the reservation, and replaces it with each repair. */
export function createChainRepair(host: GatewayHost, options: ChainRepairOptions): ChainRepair {
  const { job, model, tokens, isOver } = options;
  const { registry, protocol, now } = host;
  const [entry] = options.stages;
  let { stages, reservation } = options;
  let isRepairing = false;
  let probedMs = Number.NEGATIVE_INFINITY;
  let repairedMs = Number.NEGATIVE_INFINITY;
  let lastCause: string | undefined;
  let isEntryUnanswered = false;

  const findPath = (
    pipeline: PipelineModel,
    excludedIds: ReadonlySet<string>,
    crossDomainMs: number,
  ): readonly Stage[] | undefined =>
    replaceStages({
      stages,
      lost: excludedIds,
      engines: jitterSpeeds(
        registry.chainEngines(job.profile.name, pipeline),
        REPAIR_JITTER_WIDTH,
        host.random,
      ),
      tokens,
      fromDomain: host.failureDomain,
      domainDelayMs: pipeline.domainDelayMs,
      crossDomainMs,
      excluded: new Set(),
      domains: new Map(
        stages.map(({ id }) => [id, registry.find(id)?.failureDomain ?? host.failureDomain]),
      ),
    });
  /**
   * All streams of a lost engine send the activations of their prompts to its replacements at once. Over a link
   * between failure domains, that takes longer than to start on a chain that uses none.
   */
  const choosePath = (
    pipeline: PipelineModel,
    excludedIds: ReadonlySet<string>,
    cause: RepairCause,
  ): readonly Stage[] | undefined | 'moved' => {
    const near = findPath(pipeline, excludedIds, Number.POSITIVE_INFINITY);
    if (near !== undefined) return near;
    if (cause !== PLANNED_CAUSE && options.tryMoveNear()) return 'moved';
    const share = registry.crossingShare(pipeline);
    return findPath(pipeline, excludedIds, computeCrossDomainCost(pipeline, share, true));
  };
  const applyResult = (path: readonly Stage[], result: OrderResult): void => {
    host.count('chain_repairs', result.type);
    if (result.type === 'accepted') {
      reservation.release();
      const keptIds = new Set(stages.map(({ id }) => id));
      stages = path;
      reservation = registry.reserve(stages, tokens, keptIds);
      repairedMs = now();
      return;
    }
    const status = result.type === 'rejected' ? result.status : undefined;
    const address = result.type === 'rejected' ? result.address : undefined;
    const rejectingServer = registry.findByAddress(address ?? '');
    host.log('chain repair failed', {
      id: job.head.id,
      result: result.type,
      status,
      address,
      server: rejectingServer?.id,
      wasKept: stages.some((stage) => stage.address === address),
      isEntry: entry?.address === address,
      isDraining: rejectingServer?.isDraining,
    });
    if (rejectingServer !== undefined) {
      registry.backOff(rejectingServer.id, REPAIR_BACKOFF_MS);
      // Its report excludes it from new paths for as long as it is full.
      void host.probes.ask(rejectingServer.id, 'refused_request');
    } else if (status === NO_SUCH_RUN && options.hasEvents()) options.onRunGone();
  };
  /** Finds engines of the chain that are suspected, or that the first engine waits for. */
  const findSuspects = (waitedFor: ReadonlySet<string>): ReadonlySet<string> => {
    const suspected = new Set(registry.suspicions().map(({ id }) => id));
    const suspects = stages.filter(
      ({ id, address }) => suspected.has(id) || waitedFor.has(address),
    );
    return new Set(suspects.map(({ id }) => id));
  };
  /** Finds engines after the first that cannot serve a new path: they drain or dropped their layers. */
  const findLeaving = (): readonly string[] =>
    stages
      .slice(1)
      .filter(({ id, layers }) => !canServe(registry.find(id), layers))
      .map(({ id }) => id);
  const repair = async (failedIds: ReadonlySet<string>, cause: RepairCause): Promise<void> => {
    if (isOver() || isRepairing || model === undefined || entry === undefined) return;
    // The first engine rejects a path that still includes any failed or leaving engine.
    const replacedIds = new Set([...failedIds, ...findSuspects(new Set()), ...findLeaving()]);
    // Orders go through the first engine. While it does not answer, the stream waits for it or moves; while
    // it wants no requests, no order is sent.
    if (replacedIds.has(entry.id) || registry.quietMs(entry.id) > 0) return;
    if (cause !== PLANNED_CAUSE && host.contentSuspicions.heldMs(job.contents) > 0) {
      host.log('chain repair held back', { id: job.head.id, lost: [...replacedIds].join(' ') });
      return;
    }
    const path = choosePath(model, replacedIds, cause);
    if (path === 'moved') return;
    lastCause = cause;
    host.log('chain repair', {
      id: job.head.id,
      lost: [...replacedIds].join(' '),
      cause,
      found: path !== undefined,
      silentMs: Math.round(options.silentMs()),
    });
    if (path === undefined) return;
    if (registry.limitWaitMs(entry.id, 'control') > 0) {
      host.log('chain repair put off', { id: job.head.id, limitedBy: entry.id });
      return;
    }
    registry.recordControl(entry.id);
    isRepairing = true;
    const result = await protocol.changePath(entry.address, job.head.id, path);
    isRepairing = false;
    if (!isOver()) applyResult(path, result);
  };
  /** Replaces engines that do not answer soon, without waiting until they count as silent. */
  const replaceUnanswered = async (
    queries: ReadonlyMap<string, Promise<unknown>>,
  ): Promise<void> => {
    const unanswered = await listUnanswered(queries, SLOW_ANSWER_MS);
    if (isOver() || unanswered.size === 0 || options.silentMs() < SLOW_ANSWER_MS) return;
    if (entry !== undefined && unanswered.has(entry.id)) isEntryUnanswered = true;
    else await repair(unanswered, 'unanswered');
  };
  return {
    engines: () => stages.map(({ id }) => id),
    includes: (server) => stages.some(({ id }) => id === server),
    repair,
    probe: async () => {
      probedMs = now();
      const isAsked = ({ id }: Stage): boolean => id === entry?.id || !registry.isKnownToWork(id);
      const asked = stages
        .filter(isAsked)
        .map(({ id }) => [id, host.probes.ask(id, 'silent_stream')] as const);
      const working = stages.filter((stage) => !isAsked(stage));
      void replaceUnanswered(
        new Map<string, Promise<unknown>>([
          ...asked,
          ...working.map(({ id }) => [id, Promise.resolve()] as const),
        ]),
      );
      const [first] = await Promise.all(asked.map(([, query]) => query));
      if (first?.type === 'report') isEntryUnanswered = false;
      if (isOver()) return;
      const stalled = first?.type === 'report' ? first.report.stalled : [];
      const own = stalled.filter(({ requestId }) => requestId === job.head.id);
      const suspects = findSuspects(new Set(own.map(({ address }) => address)));
      if (suspects.size > 0) await repair(suspects, 'silent');
    },
    isEntryUnanswered: () => isEntryUnanswered,
    probedMs: () => probedMs,
    repairedMs: () => repairedMs,
    lastCause: () => lastCause,
    release: () => {
      reservation.release();
    },
  };
}

function canServe(server: ListedServer | undefined, wanted: LayerRange): boolean {
  if (server === undefined || server.isDraining || server.layers === undefined) return false;
  return server.layers.from <= wanted.from && server.layers.to >= wanted.to;
}
