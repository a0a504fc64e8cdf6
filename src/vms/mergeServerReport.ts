/** Takes in word of a backend server: its own answer, or what a watcher passed on. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Fleet, FleetDecision } from './fleet';
import type { FleetEffect } from './fleetMessage';
import type { ServerRecord, ServerReport } from './serverRecord';
import { getServerRecord } from './getServerRecord';
import { withServer } from './withServer';

/**
 * How much newer than `leaving` another word of the same life has to be to undo it, milliseconds. Ages
 * travel, so two words from about the same time may arrive in the wrong order.
 */
const LEAVING_OUTWEIGHS_MS = 500;

/**
 * Keeps the newest word. Another incarnation means that the server restarted: the other sides hear of
 * the crash, and the server is let back in gradually.
 *
 * @param fleet the state
 * @param server whom the word is of
 * @param word the word, dated on this VM's clock
 */
export function mergeServerReport(
  fleet: Fleet,
  server: BackendServerId,
  word: ServerReport,
): FleetDecision {
  const record = getServerRecord(fleet, server);
  if (!isNews(record, word)) return { state: fleet, effects: [] };
  const hasRestarted = record.report !== undefined && !isSameLife(record.report, word);
  const beganToLeave = word.state === 'leaving' && record.report?.state !== 'leaving';
  const state = withServer(fleet, server, {
    report: word,
    leavingAtMs: beganToLeave ? word.observedAtMs : record.leavingAtMs,
    failureHistory: hasRestarted
      ? { ...record.failureHistory, failuresInRow: 0, recoveredAtMs: word.observedAtMs }
      : record.failureHistory,
  });
  const effects: FleetEffect[] = [];
  if (hasRestarted) effects.push({ type: 'server-crashed', server });
  if (beganToLeave) effects.push(tellLeaving(server));
  return state === fleet ? { state, effects: [] } : { state, effects };
}

function isNews(record: ServerRecord, word: ServerReport): boolean {
  const before = record.report;
  if (word.observedAtMs <= record.notBeforeMs) return false;
  if (before === undefined) return true;
  const isSame = isSameLife(before, word);
  const undoes = isSame && before.state === 'leaving' && word.state === 'live';
  const confirms = isSame && before.state === 'live' && word.state === 'leaving';
  const margin = undoes ? LEAVING_OUTWEIGHS_MS : 0;
  if (confirms) return word.observedAtMs > before.observedAtMs - LEAVING_OUTWEIGHS_MS;
  return word.observedAtMs > before.observedAtMs + margin;
}

/** A word that came without an incarnation, by a refusal, belongs to the life that is known. */
function isSameLife(one: ServerReport, other: ServerReport): boolean {
  return one.incarnation === other.incarnation || one.incarnation === 0 || other.incarnation === 0;
}

function tellLeaving(server: BackendServerId): FleetEffect {
  return {
    type: 'log',
    level: 'info',
    message: 'Backend server leaves',
    fields: { server },
  };
}
