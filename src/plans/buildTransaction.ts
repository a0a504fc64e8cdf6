/** Turns a ledger write into one transaction of the table service. */

import type { Configuration, RevisionNumber } from '../configuration/configuration';
import type { RowCondition, RowWrite, Transaction } from '../contracts/table';
import type { AuditBody, AuditHead } from './auditEntry';
import { chainAudit } from './chainAudit';
import type { LedgerWrite } from './ledgerWrite';
import { MAX_MARKERS } from './planLimits';
import {
  AUDIT_HEAD_KEY,
  AUDIT_TABLE,
  formatAuditKey,
  CLAIMS_TABLE,
  encodePlanRecord,
  LEASES_TABLE,
  PLANS_TABLE,
} from './planRows';
import type { PlanRecord } from './planRecord';
import type { VersionedValue } from './planState';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import { encodeRevision } from '../configuration/encodeRevision';
import type { Head } from '../configuration/head';
import { formatRevisionKey } from '../configuration/formatRevisionKey';

interface Part {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** The heads that the transaction builds on. */
export interface Heads {
  /** The configuration, which may be ahead of the head row as last read. */
  readonly configuration: Pick<Configuration, 'revision'>;
  readonly head: VersionedValue<Head>;
  readonly auditHead: VersionedValue<AuditHead>;
}

/** Returns the plan's row as the write stores it. */
export function computeNextRecord(write: LedgerWrite, head: Head): PlanRecord {
  const revision = commitsRevision(write) ? head.revision + 1 : write.record.revision;
  const markers = [...write.record.markers, write.id].slice(-MAX_MARKERS);
  return { ...write.record, revision, markers };
}

/**
 * Whether the write commits a revision. A commit without changes only checks that the head is
 * unchanged.
 */
export function commitsRevision({ commit }: LedgerWrite): boolean {
  return commit !== undefined && commit.changes.length > 0;
}

/**
 * Builds the transaction of a write: conditions and writes of the plan's row, the audit trail, the
 * configuration, the lease and the claims. The plan's row is the first write, the lease's row the
 * second.
 *
 * @param write the ledger write
 * @param heads the last revision and the last audit entry as last read
 */
export function buildTransaction(write: LedgerWrite, heads: Heads): Transaction {
  const parts = [
    buildPlanPart(write, heads.head.value),
    buildLeasePart(write),
    buildAuditPart(write, heads),
    buildCommitPart(write, heads.head),
    buildClaimPart(write),
  ];
  return {
    conditions: parts.flatMap((part) => part.conditions),
    writes: parts.flatMap((part) => part.writes),
  };
}

function buildPlanPart(write: LedgerWrite, head: Head): Part {
  const key = write.record.plan.id;
  const value = encodePlanRecord(computeNextRecord(write, head));
  return {
    conditions: [{ table: PLANS_TABLE, key, version: write.planVersion }],
    writes: [{ table: PLANS_TABLE, key, value }],
  };
}

function buildLeasePart({ lease, record }: LedgerWrite): Part {
  if (lease === undefined) return { conditions: [], writes: [] };
  const key = record.plan.id;
  const value = lease.value === undefined ? undefined : JSON.stringify(lease.value);
  return {
    conditions: [{ table: LEASES_TABLE, key, version: lease.expected }],
    writes: [{ table: LEASES_TABLE, key, value }],
  };
}

function buildAuditPart(write: LedgerWrite, { configuration, head, auditHead }: Heads): Part {
  if (write.audit.length === 0) return { conditions: [], writes: [] };
  const isCommit = commitsRevision(write);
  const known = Math.max(head.value.revision, configuration.revision);
  const before = isCommit ? head.value.revision : known;
  const after = isCommit ? before + 1 : before;
  const bodies = write.audit.map((body, index) =>
    setRevisions(body, index === 0 ? before : after, after),
  );
  const chained = chainAudit(auditHead.value, bodies);
  return {
    conditions: [{ table: AUDIT_TABLE, key: AUDIT_HEAD_KEY, version: auditHead.version }],
    writes: [
      ...chained.entries.map((entry) => ({
        table: AUDIT_TABLE,
        key: formatAuditKey(entry.sequence),
        value: JSON.stringify(entry),
      })),
      { table: AUDIT_TABLE, key: AUDIT_HEAD_KEY, value: JSON.stringify(chained.head) },
    ],
  };
}

function setRevisions(body: AuditBody, before: RevisionNumber, after: RevisionNumber): AuditBody {
  return { ...body, revisionBefore: before, revisionAfter: after };
}

function buildCommitPart({ commit, id }: LedgerWrite, head: VersionedValue<Head>): Part {
  if (commit === undefined) return { conditions: [], writes: [] };
  const conditions = [{ table: CONFIGURATION_TABLE, key: HEAD_KEY, version: head.version }];
  if (commit.changes.length === 0) return { conditions, writes: [] };
  const number = head.value.revision + 1;
  const { operator, reason, changes } = commit;
  const revision = encodeRevision({ number, changeId: id, changes, operator, reason });
  const next: Head = { revision: number, changeId: id };
  return {
    conditions,
    writes: [
      { table: CONFIGURATION_TABLE, key: formatRevisionKey(number), value: revision },
      { table: CONFIGURATION_TABLE, key: HEAD_KEY, value: JSON.stringify(next) },
    ],
  };
}

function buildClaimPart({ claims, record }: LedgerWrite): Part {
  if (claims === undefined) return { conditions: [], writes: [] };
  const rows = claims.keys.map((key) => ({ table: CLAIMS_TABLE, key }));
  const conditions = rows.map((row) => ({ ...row, version: 0 }));
  const value = JSON.stringify({ plan: record.plan.id });
  const parts: Readonly<Record<typeof claims.action, Part>> = {
    require: { conditions, writes: [] },
    take: { conditions, writes: rows.map((row) => ({ ...row, value })) },
    release: { conditions: [], writes: rows.map((row) => ({ ...row, value: undefined })) },
  };
  return parts[claims.action];
}
