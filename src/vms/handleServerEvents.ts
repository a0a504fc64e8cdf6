/** What this VM itself sees of backend servers: answers to its probes, load, and its own requests. */

import { hash32 } from '../hashing/hash32';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { EJECTION_MS, FAILURES_TO_EJECT, MAX_EJECTION_MS } from './fleetConstants';
import type { FleetEvent } from './fleetMessage';
import { mergeLoad } from './mergeLoad';
import { mergeServerReport } from './mergeServerReport';
import type { FailureHistory, ServerRecord, ServerReport } from './serverRecord';
import { getServerRecord } from './getServerRecord';
import { announceLeaving } from './announceLeaving';
import { withServer } from './withServer';

type Event<Type extends FleetEvent['type']> = Extract<FleetEvent, { readonly type: Type }>;

/** How much of a failure a slow answer counts for. */
const SLOW_FAILURE = 0.5;

/**
 * An answer is word of when it was asked for: one that waited out a pause of this VM is as old as the
 * pause. No answer is no word, and the last one grows old.
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
  return takeOwnWord(fleet, event, { state: event.result, incarnation, observedAtMs });
}

/** A report that says the engine leaves is word of it too. */
export function handleLoadObserved(fleet: Fleet, event: Event<'load-observed'>): FleetDecision {
  const { report, atMs, seed } = event;
  return chain(
    fleet,
    (state) => mergeLoad(state, report, atMs, 0),
    (state) =>
      report.leaving
        ? takeLeaving(state, { server: report.engine, atMs, seed })
        : { state, effects: [] },
  );
}

/** Evidence of this VM's own requests. */
export function handleServerObserved(fleet: Fleet, event: Event<'server-observed'>): FleetDecision {
  return observations[event.observation](fleet, event);
}

type Observed = Event<'server-observed'>;

const observations: Readonly<
  Record<Observed['observation'], (fleet: Fleet, event: Observed) => FleetDecision>
> = {
  served: (fleet, event) => conduct(fleet, event, () => ({ failuresInRow: 0 })),
  failed: (fleet, event) => conduct(fleet, event, (record) => fail(record, 1, event.atMs)),
  slow: (fleet, event) => conduct(fleet, event, (record) => fail(record, SLOW_FAILURE, event.atMs)),
  crashed: (fleet, event) => ({
    // Only word from after the crash counts, so no new work goes there before it answers again.
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
  leaving: (fleet, event) => takeLeaving(fleet, event),
};

function takeLeaving(
  fleet: Fleet,
  event: { readonly server: string; readonly atMs: number; readonly seed: number },
): FleetDecision {
  const incarnation = getServerRecord(fleet, event.server).report?.incarnation ?? 0;
  const observedAtMs = event.atMs;
  return takeOwnWord(fleet, event, { state: 'leaving', incarnation, observedAtMs });
}

function takeOwnWord(
  fleet: Fleet,
  event: { readonly server: string; readonly atMs: number; readonly seed: number },
  said: Omit<ServerReport, 'via'>,
): FleetDecision {
  const { server, atMs, seed } = event;
  return chain(
    fleet,
    (state) => mergeServerReport(state, server, { ...said, via: 'own' }),
    (state) => announceLeaving(fleet, state, server, atMs, seed),
  );
}

function conduct(
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

function fail(record: ServerRecord, by: number, atMs: number): Partial<FailureHistory> {
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

/** Ejections after which the time grows no further. */
const MAX_EJECTION_DOUBLINGS = Math.ceil(Math.log2(MAX_EJECTION_MS / EJECTION_MS));
