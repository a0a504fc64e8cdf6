/**
 * Compares the outcomes that callers received with the requests that backend servers ran.
 *
 * A broken answer (a closed connection or a cut body) of a request that ran is a violation unless one of these
 * excuses it: the server of the run that ended last broke that run off, or crashed or reset its connections since
 * the run began; another server on the path of that run crashed since then; the gateway was frozen, stopped, killed or
 * restarted between the request and the outcome; the time-out of the route was reached. The server's silence
 * and faults of the store excuse nothing.
 */

import type { CallerOutcome, CallerRequestKind } from '../../platform/standins/sendRequest';
import type { RouteLimits } from '../../platform/standins/createConfiguration';
import type { RunEnd, ServerIdentity } from '../../platform/standins/engineStandin';

/** What can excuse a broken answer, apart from the servers. */
export interface Circumstances {
  readonly wasGatewayDisturbed: boolean;
  /** Time from sending the request to its outcome. */
  readonly elapsedMs: number;
}

export interface SoakLedger {
  /** Records a request before it is sent: a server may run it before its outcome is known. */
  readonly recordSending: (requestId: string, kind: CallerRequestKind) => void;
  /** Records that a server began to run a request, with the pipeline stages that it was given. */
  readonly recordRun: (requestId: string, server: string, stages: string) => void;
  /** @param endedMs monotonic, milliseconds; when the gateway closed the connection, if it did */
  readonly recordRunEnd: (requestId: string, server: string, end: RunEnd, endedMs: number) => void;
  /** Records that the stages of a run were replaced. */
  readonly recordStages: (requestId: string, server: string, stages: string) => void;
  readonly recordLostConnections: (server: ServerIdentity, cause: 'crashed' | 'reset') => void;
  readonly recordOutcome: (
    requestId: string,
    outcome: CallerOutcome,
    circumstances: Circumstances,
  ) => void;
  /** Number of requests with a complete answer. */
  readonly served: () => number;
  /** Violated guarantees, one line each. */
  readonly findings: () => readonly string[];
}

/** A gateway answers shortly before the time-out of the route. */
const EXPIRY_MARGIN_MS = 15;

export interface SoakLedgerOptions {
  /** Layers that every path has to cover. */
  readonly layers: number;
  readonly limits: Readonly<Record<CallerRequestKind, RouteLimits>>;
  /** Body of a complete stream of a request. */
  readonly streamBody: (requestId: string) => string;
}

interface Run {
  readonly server: string;
  stages: string;
  end: RunEnd | 'running';
  /** Monotonic, milliseconds; infinite while it runs. */
  endedMs: number;
  /** Whether the server has crashed since the run began. */
  hasCrashed: boolean;
  /** Whether the run can't be expected to reach its gateway. */
  isLost: boolean;
}

interface LedgerRequest {
  readonly kind: CallerRequestKind;
  readonly runs: Run[];
  outcome: CallerOutcome | undefined;
  /** Whether the gateway or the time-out of the route excuses a broken answer. */
  isExcused: boolean;
  /** Runs that were lost before the outcome. */
  lostRuns: ReadonlySet<Run>;
}

export function createSoakLedger(options: SoakLedgerOptions): SoakLedger {
  const { layers, limits, streamBody } = options;
  const requests = new Map<string, LedgerRequest>();
  const runViolations: string[] = [];
  const attemptViolations: string[] = [];
  const wholeBody: Readonly<Record<CallerRequestKind, (requestId: string) => string>> = {
    stream: streamBody,
    once: (requestId) => JSON.stringify({ requestId }),
    lookup: (requestId) => JSON.stringify({ requestId }),
  };
  const findViolation = (requestId: string, request: LedgerRequest): string | undefined => {
    const { kind, runs, outcome } = request;
    const description = describeRequest(requestId, request);
    if (kind === 'once' && runs.length > 1) return `ran twice: ${description}`;
    if (outcome?.type === 'refused' && runs.length > 0)
      return `said not to have run, and did: ${description}`;
    if (outcome?.type === 'cut' && runs.length > 0 && !isExcused(request))
      return `answer broken without a reason: ${description}`;
    if (outcome?.type !== 'whole') return undefined;
    if (!outcome.isSealed) return `answer without the server's signature: ${description}`;
    if (outcome.body !== wholeBody[kind](requestId))
      return `wrong answer taken as whole: ${description}`;
    return undefined;
  };
  const findActiveRun = (requestId: string, server: string): Run | undefined =>
    requests.get(requestId)?.runs.find((run) => run.server === server && run.end === 'running');
  return {
    recordSending: (requestId, kind) => {
      requests.set(requestId, {
        kind,
        runs: [],
        outcome: undefined,
        isExcused: false,
        lostRuns: new Set(),
      });
    },
    recordRun: (requestId, server, stages) => {
      if (stages !== '' && !coversAllLayers(stages, layers))
        runViolations.push(`path ${stages}: ${requestId}`);
      const request = requests.get(requestId);
      if (request === undefined) {
        runViolations.push(`ran without being sent: ${requestId} on ${server}`);
        return;
      }
      const { kind, runs } = request;
      const end = { end: 'running', endedMs: Infinity } as const;
      runs.push({ server, stages, ...end, hasCrashed: false, isLost: false });
      const servers = new Set(runs.filter((run) => !run.hasCrashed).map((run) => run.server));
      if (servers.size > limits[kind].maxAttempts)
        attemptViolations.push(`ran on too many servers: ${describeRequest(requestId, request)}`);
    },
    recordRunEnd: (requestId, server, end, endedMs) => {
      const run = findActiveRun(requestId, server);
      if (run === undefined) return;
      run.end = end;
      run.endedMs = endedMs;
      run.isLost ||= end === 'broken off';
    },
    recordStages: (requestId, server, stages) => {
      const run = findActiveRun(requestId, server);
      if (run !== undefined) run.stages = stages;
    },
    recordLostConnections: ({ id, address }, cause) => {
      const isCrash = cause === 'crashed';
      for (const run of [...requests.values()].flatMap(({ runs }) => runs)) {
        run.hasCrashed ||= isCrash && run.server === id;
        if (run.end === 'closed by gateway') continue;
        run.isLost ||= run.server === id || (isCrash && run.stages.includes(`${address}=`));
      }
    },
    recordOutcome: (requestId, outcome, { wasGatewayDisturbed, elapsedMs }) => {
      const request = requests.get(requestId);
      if (request === undefined) throw new RangeError(`No request ${requestId} was sent`);
      const dueMs = limits[request.kind].timeoutMs - EXPIRY_MARGIN_MS;
      request.outcome = outcome;
      request.isExcused = wasGatewayDisturbed || elapsedMs >= dueMs;
      request.lostRuns = new Set(request.runs.filter(({ isLost }) => isLost));
    },
    served: () => [...requests.values()].filter(({ outcome }) => outcome?.type === 'whole').length,
    findings: () => [
      ...runViolations,
      ...[...requests].flatMap(([requestId, request]) => findViolation(requestId, request) ?? []),
      ...attemptViolations,
    ],
  };
}

/** Judged at the end: a server can learn late that the gateway has closed the connection of a run. */
function isExcused(request: LedgerRequest): boolean {
  const last = findLastRun(request.runs);
  return request.isExcused || (last !== undefined && request.lostRuns.has(last));
}

/** The run that ended last; of runs that ended at the same time, the one that began last. */
function findLastRun(runs: readonly Run[]): Run | undefined {
  return runs.reduce<Run | undefined>(
    (last, run) => (last === undefined || run.endedMs >= last.endedMs ? run : last),
    undefined,
  );
}

function describeRequest(requestId: string, { kind, runs }: LedgerRequest): string {
  const servers = runs.map(({ server, end, hasCrashed }) =>
    hasCrashed ? `${server} (${end}, crashed)` : `${server} (${end})`,
  );
  return `${requestId} (${kind}), ran on ${servers.join(', ') || 'none'}`;
}

/** Whether the stages of a path run every layer once and in order. */
function coversAllLayers(stages: string, layers: number): boolean {
  let nextLayer = 0;
  for (const stage of stages.split(',')) {
    const [from, to] = (stage.split('=')[1] ?? '').split('-').map(Number);
    if (from !== nextLayer || to === undefined || to <= nextLayer) return false;
    nextLayer = to;
  }
  return nextLayer === layers;
}
