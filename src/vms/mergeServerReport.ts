/** Merges a report of a backend server: its own answer, or one that a watcher relayed. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Fleet, FleetDecision } from './fleet';
import type { FleetEffect } from './fleetMessage';
import { getServerRecord } from './getServerRecord';
import type { ServerRecord, ServerReport } from './serverRecord';
import { withServer } from './withServer';

/**
 * How much newer than a `leaving` report another report of the same incarnation has to be to override it,
 * milliseconds. Reports carry ages instead of timestamps, so two reports from about the same time may
 * appear in the wrong order.
 */
const LEAVING_PRECEDENCE_MS = 500;

/**
 * Keeps the newest report. Another incarnation means that the server restarted: the other sides are
 * notified of the crash, and the server's weight is raised gradually.
 *
 * @param fleet the state
 * @param server the server's id
 * @param report the report, dated on this VM's clock
 */
export function mergeServerReport(
  fleet: Fleet,
  server: BackendServerId,
  report: ServerReport,
): FleetDecision {
  const record = getServerRecord(fleet, server);
  if (!isNewer(record, report)) return { state: fleet, effects: [] };
  const hasRestarted = record.report !== undefined && !isSameIncarnation(record.report, report);
  const beganToLeave = report.state === 'leaving' && record.report?.state !== 'leaving';
  const state = withServer(fleet, server, {
    report,
    leavingAtMs: beganToLeave ? report.observedAtMs : record.leavingAtMs,
    failureHistory: hasRestarted
      ? { ...record.failureHistory, failuresInRow: 0, recoveredAtMs: report.observedAtMs }
      : record.failureHistory,
  });
  const effects: FleetEffect[] = [];
  if (hasRestarted) effects.push({ type: 'server-crashed', server });
  if (beganToLeave) effects.push(logLeaving(server));
  return state === fleet ? { state, effects: [] } : { state, effects };
}

function isNewer(record: ServerRecord, report: ServerReport): boolean {
  const before = record.report;
  if (report.observedAtMs <= record.notBeforeMs) return false;
  if (before === undefined) return true;
  const isSame = isSameIncarnation(before, report);
  const undoes = isSame && before.state === 'leaving' && report.state === 'live';
  const confirms = isSame && before.state === 'live' && report.state === 'leaving';
  const margin = undoes ? LEAVING_PRECEDENCE_MS : 0;
  if (confirms) return report.observedAtMs > before.observedAtMs - LEAVING_PRECEDENCE_MS;
  return report.observedAtMs > before.observedAtMs + margin;
}

/** A report without an incarnation, which a refusal yields, counts as of the known incarnation. */
function isSameIncarnation(one: ServerReport, other: ServerReport): boolean {
  return one.incarnation === other.incarnation || one.incarnation === 0 || other.incarnation === 0;
}

function logLeaving(server: BackendServerId): FleetEffect {
  return {
    type: 'log',
    level: 'info',
    message: 'backend server is leaving',
    fields: { server },
  };
}
