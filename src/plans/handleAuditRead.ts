/** Continues `read-audit` after a page of the trail was read. */

import type { ReadResult } from '../contracts/table';
import type { Decision } from '../decisions/decision';
import { createAnswer, createRefusal, STATUS } from './answers';
import type { AuditEntry } from './auditEntry';
import type { AuditFilter, OpenCall } from './openCall';
import { registerCall } from './registerCall';
import { AUDIT_PAGE_ENTRIES, MAX_AUDIT_PAGES } from './planLimits';
import type { PlanEffect } from './planMessage';
import { AUDIT_TABLE, formatAuditKey } from './planRows';
import type { Plans } from './planState';
import { verifyAudit, type AuditVerdict } from './verifyAudit';

type ReadAudit = Extract<OpenCall, { readonly type: 'read-audit' }>;

/** Reads pages until the trail ends, then answers with the newest matching entries. */
export function handleAuditRead(
  state: Plans,
  call: ReadAudit,
  result: ReadResult,
): Decision<Plans, PlanEffect> {
  if (result.type === 'unavailable') {
    const { call: asked } = call;
    const refusal = createRefusal(asked, STATUS.unavailable, 'store-unavailable', result.detail);
    return { state, effects: [refusal] };
  }
  const entries = result.rows.map((row) => JSON.parse(row.value) as AuditEntry);
  const { filter } = call;
  const matching = entries.filter((entry) => matches(entry, filter));
  const found = [...call.found, ...matching].slice(-filter.limit);
  const verdict = verifyAudit(call.head, entries);
  const isMore = entries.length === AUDIT_PAGE_ENTRIES;
  if (!isMore || verdict.type === 'broken')
    return answerEntries(state, call, found, verdict, false);
  if (call.pages >= MAX_AUDIT_PAGES) return answerEntries(state, call, found, verdict, true);
  const next: ReadAudit = { ...call, found, head: verdict.head, pages: call.pages + 1 };
  const opened = registerCall(state, next);
  const from = formatAuditKey(verdict.head.sequence + 1);
  const range = { table: AUDIT_TABLE, from, to: AUDIT_END, limit: AUDIT_PAGE_ENTRIES };
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

function answerEntries(
  state: Plans,
  { call, filter }: ReadAudit,
  entries: readonly AuditEntry[],
  verdict: AuditVerdict,
  isCut: boolean,
): Decision<Plans, PlanEffect> {
  const chain = filter.verify ? { chain: verdict } : {};
  return { state, effects: [createAnswer(call, STATUS.ok, { entries, isCut, ...chain })] };
}
