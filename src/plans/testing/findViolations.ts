/** Checks the invariants of a test bench after all plans have ended. */

import { chainAudit } from '../chainAudit';
import type { AuditEntry } from '../auditEntry';
import { digestObject } from '../digestObject';
import type { PlanRecord } from '../planRecord';
import {
  AUDIT_TABLE,
  CLAIMS_TABLE,
  decodePlanRecord,
  LEASES_TABLE,
  PLANS_TABLE,
  VM_KEY_PREFIX,
  FENCING_KEY,
} from '../planRows';
import { verifyAudit } from '../verifyAudit';
import type { AppliedOrder } from './fakeEngine';
import type { PlanBench } from './createPlanBench';

/**
 * Finds stale orders: those from a lease holder that any engine applied after the first order of a
 * successor for the same plan.
 */
export function findStaleOrders(applied: readonly AppliedOrder[]): readonly AppliedOrder[] {
  const highest = new Map<string, number>();
  return applied.filter(({ plan, fencing }) => {
    const before = highest.get(plan) ?? 0;
    highest.set(plan, Math.max(before, fencing));
    return fencing < before;
  });
}

/** Lists the records of all plans on a bench. */
export function listPlanRecords(bench: PlanBench): readonly PlanRecord[] {
  return listRows(bench, PLANS_TABLE).map((row) => decodePlanRecord(row.value));
}

function listRows(bench: PlanBench, table: string): readonly { key: string; value: string }[] {
  return [...bench.table.rows().values()].filter((row) => row.table === table);
}

/**
 * Finds plans that are only partly applied, leases and claims that are not released, stale orders, engines
 * that differ from the configuration, and changes without an audit entry.
 *
 * @returns a description of each violation
 */
export function findViolations(bench: PlanBench): readonly string[] {
  const open = listPlanRecords(bench).filter(
    ({ status }) => status === 'running' || status === 'undoing',
  );
  const leases = listRows(bench, LEASES_TABLE).filter(
    ({ key }) => key !== FENCING_KEY && !key.startsWith(VM_KEY_PREFIX),
  );
  return [
    ...open.map(({ plan, status, step }) => `${plan.summary} is ${status} at step ${step}`),
    ...findStaleOrders(bench.taken).map(
      ({ engine, fencing }) => `stale order ${fencing} to ${engine}`,
    ),
    ...leases.map(({ key }) => `lease of ${key} is not released`),
    ...listRows(bench, CLAIMS_TABLE).map(({ key }) => `claim on ${key} is not released`),
    ...findEngineViolations(bench),
    ...findAuditViolations(bench),
  ];
}

/** Finds engines whose state differs from the configuration. */
function findEngineViolations(bench: PlanBench): readonly string[] {
  return [...bench.configuration().engine.values()].flatMap((engine) => {
    const held = bench.engines.get(engine.id)?.state;
    if (engine.role === 'idle' || held === undefined) return [];
    const { model, modelVersion, layers, role } = engine;
    const isSame =
      digestObject({ model, modelVersion, layers, role }) ===
      digestObject({
        model: held.model,
        modelVersion: held.modelVersion,
        layers: held.layers,
        role: held.role,
      });
    return isSame ? [] : [`${engine.id} differs from the configuration`];
  });
}

function findAuditViolations(bench: PlanBench): readonly string[] {
  const trail = listRows(bench, AUDIT_TABLE)
    .filter(({ key }) => key.startsWith('entry/'))
    .map(({ value }) => JSON.parse(value) as AuditEntry)
    .sort((one, other) => one.sequence - other.sequence);
  const verdict = verifyAudit(chainAudit({ sequence: 0, hash: '' }, []).head, trail);
  const accepted = trail.filter((entry) => entry.revisionAfter > entry.revisionBefore).length;
  const { revision } = bench.configuration();
  return [
    ...(verdict.type === 'broken' ? [`audit entry ${verdict.sequence}: ${verdict.detail}`] : []),
    ...(accepted === revision ? [] : [`${revision} revisions, ${accepted} in the audit trail`]),
  ];
}
