/** Handles this VM's own observations of backend servers: probe answers, load, and its requests. */

import { hash32 } from '../hashing/hash32';
import { announceLeaving } from './announceLeaving';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { EJECTION_MS, FAILURES_TO_EJECT, MAX_EJECTION_MS } from './fleetConstants';
import type { FleetEvent } from './fleetMessage';
import { getServerRecord } from './getServerRecord';
import { mergeLoad } from './mergeLoad';
import { mergeServerReport } from './mergeServerReport';
import type { FailureHistory, ServerRecord, ServerReport } from './serverRecord';
import { withServer } from './withServer';

type Event<Type extends FleetEvent['type']> = Extract<FleetEvent, { readonly type: Type }>;

/** Fraction of a failure that a slow answer counts as. */
const SLOW_FAILURE_WEIGHT = 0.5;

/**
 * Dates an answer to when the probe was sent: one that waited while this VM was paused is as old as the
 * pause. A failed probe records no report, so the last report ages.
 */
export function handleProbeAnswered(fleet: Fleet, event: Event<'probe-answered'>): FleetDecision {
  if (event.result === 'unreachable') {
    return {
      state: fleet,
      effects: [{ type: 'count', counter: 'server_probes_failed', by: 1 }],
    };
  }
  const incarnation = hash32(event.incarnation);
  const observedAtMs = event.askedAtMs;
  return recordOwnReport(fleet, event, { state: event.result, incarnation, observedAtMs });
}

/** Merges a load report, which may also say that the engine is leaving. */
export function handleLoadObserved(fleet: Fleet, event: Event<'load-observed'>): FleetDecision {
  const { report, atMs, seed } = event;
  return chain(
    fleet,
    (state) => mergeLoad(state, report, atMs, 0),
    (state) =>
      report.leaving
        ? recordLeaving(state, { server: report.engine, atMs, seed })
        : { state, effects: [] },
  );
}

/** Handles an observation from one of this VM's own requests. */
export function handleServerObserved(fleet: Fleet, event: Event<'server-observed'>): FleetDecision {
  return observationHandlers[event.observation](fleet, event);
}

type Observed = Event<'server-observed'>;

const observationHandlers: Readonly<
  Record<Observed['observation'], (fleet: Fleet, event: Observed) => FleetDecision>
> = {
  served: (fleet, event) => updateFailureHistory(fleet, event, () => ({ failuresInRow: 0 })),
  failed: (fleet, event) =>
    updateFailureHistory(fleet, event, (record) => recordFailure(record, 1, event.atMs)),
  slow: (fleet, event) =>
    updateFailureHistory(fleet, event, (record) =>
      recordFailure(record, SLOW_FAILURE_WEIGHT, event.atMs),
    ),
  crashed: (fleet, event) => ({
    // Only reports from after the crash count: the server gets no new work until it answers again.
    state: withServer(fleet, event.server, {
      report: undefined,
      notBeforeMs: event.atMs,
      probedAtMs: -Infinity,
      failureHistory: {
        ...getServerRecord(fleet, event.server).failureHistory,
        recoveredAtMs: event.atMs,
      },
    }),
    effects: [],
  }),
  leaving: (fleet, event) => recordLeaving(fleet, event),
};

function recordLeaving(
  fleet: Fleet,
  event: { readonly server: string; readonly atMs: number; readonly seed: number },
): FleetDecision {
  const incarnation = getServerRecord(fleet, event.server).report?.incarnation ?? 0;
  const observedAtMs = event.atMs;
  return recordOwnReport(fleet, event, { state: 'leaving', incarnation, observedAtMs });
}

function recordOwnReport(
  fleet: Fleet,
  event: { readonly server: string; readonly atMs: number; readonly seed: number },
  report: Omit<ServerReport, 'via'>,
): FleetDecision {
  const { server, atMs, seed } = event;
  return chain(
    fleet,
    (state) => mergeServerReport(state, server, { ...report, via: 'own' }),
    (state) => announceLeaving(fleet, state, server, atMs, seed),
  );
}

function updateFailureHistory(
  fleet: Fleet,
  event: Observed,
  change: (record: ServerRecord) => Partial<FailureHistory>,
): FleetDecision {
  const record = getServerRecord(fleet, event.server);
  const changes = change(record);
  if (changes.failuresInRow === record.failureHistory.failuresInRow)
    return { state: fleet, effects: [] };
  const next = { ...record.failureHistory, ...changes };
  return { state: withServer(fleet, event.server, { failureHistory: next }), effects: [] };
}

function recordFailure(record: ServerRecord, by: number, atMs: number): Partial<FailureHistory> {
  const { failuresInRow, ejections, ejectedUntilMs } = record.failureHistory;
  const failures = failuresInRow + by;
  if (failures < FAILURES_TO_EJECT || atMs < ejectedUntilMs) return { failuresInRow: failures };
  const length = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** ejections);
  return {
    failuresInRow: 0,
    ejections: Math.min(ejections + 1, MAX_EJECTION_DOUBLINGS),
    ejectedUntilMs: atMs + length,
  };
}

/** Number of ejections after which their duration stops growing. */
const MAX_EJECTION_DOUBLINGS = Math.ceil(Math.log2(MAX_EJECTION_MS / EJECTION_MS));
