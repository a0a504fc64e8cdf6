/** Goes on with `read-audit` when a page of the trail was read. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import { answer, refuse, STATUS } from './answers';
import type { AuditEntry } from './auditEntry';
import type { AuditFilter, OpenCall } from './openCall';
import { openCallAs } from './openCallAs';
import { AUDIT_PAGE, MAX_AUDIT_PAGES } from './planLimits';
import type { PlanEffect } from './planMessage';
import { AUDIT_TABLE, auditKey } from './planRows';
import type { Plans } from './planState';
import { verifyAudit, type AuditVerdict } from './verifyAudit';

type ReadAudit = Extract<OpenCall, { readonly type: 'read-audit' }>;

/** Reads on until the trail ends, then answers with the newest entries that were asked for. */
export function handleAuditRead(
  state: Plans,
  call: ReadAudit,
  result: ReadResult,
): Decision<Plans, PlanEffect> {
  if (result.type === 'unavailable') {
    const { call: asked } = call;
    const refusal = refuse(asked, STATUS.unavailable, 'store-unavailable', result.detail);
    return { state, effects: [refusal] };
  }
  const entries = result.rows.map((row) => JSON.parse(row.value) as AuditEntry);
  const { filter } = call;
  const matching = entries.filter((entry) => matches(entry, filter));
  const found = [...call.found, ...matching].slice(-filter.limit);
  const verdict = verifyAudit(call.head, entries);
  const isMore = entries.length === AUDIT_PAGE;
  if (!isMore || verdict.type === 'broken') return finish(state, call, found, verdict, false);
  if (call.pages >= MAX_AUDIT_PAGES) return finish(state, call, found, verdict, true);
  const next: ReadAudit = { ...call, found, head: verdict.head, pages: call.pages + 1 };
  const opened = openCallAs(state, next);
  const from = auditKey(verdict.head.sequence + 1);
  const range = { table: AUDIT_TABLE, from, to: AUDIT_END, limit: AUDIT_PAGE };
  return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
}

/** First key after all entries. */
export const AUDIT_END = 'entry0';

function matches(entry: AuditEntry, { since, service, who }: AuditFilter): boolean {
  return (
    entry.wallMs >= since &&
    (service === '' || entry.services.includes(service)) &&
    (who === '' || entry.who === who)
  );
}

function finish(
  state: Plans,
  { call, filter }: ReadAudit,
  entries: readonly AuditEntry[],
  verdict: AuditVerdict,
  isCut: boolean,
): Decision<Plans, PlanEffect> {
  const chain = filter.verify ? { chain: verdict } : {};
  return { state, effects: [answer(call, STATUS.ok, { entries, isCut, ...chain })] };
}
