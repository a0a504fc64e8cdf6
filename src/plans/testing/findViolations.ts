/** What must hold on a bench once it has come to rest. */

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
import type { TakenOrder } from './fakeEngine';
import type { PlanBench } from './planBench';

/** Orders that an engine took from a holder after it, or another, took the first of a successor. */
export function lateOrders(taken: readonly TakenOrder[]): readonly TakenOrder[] {
  const highest = new Map<string, number>();
  return taken.filter(({ plan, fencing }) => {
    const before = highest.get(plan) ?? 0;
    highest.set(plan, Math.max(before, fencing));
    return fencing < before;
  });
}

/** Records of all plans on a bench. */
export function planRecords(bench: PlanBench): readonly PlanRecord[] {
  return rowsOf(bench, PLANS_TABLE).map((row) => decodePlanRecord(row.value));
}

function rowsOf(bench: PlanBench, table: string): readonly { key: string; value: string }[] {
  return [...bench.table.rows().values()].filter((row) => row.table === table);
}

/**
 * Looks for plans that are neither whole nor untouched, for orders from a holder that was succeeded,
 * and for changes without their audit entry.
 *
 * @returns in words what is wrong; empty where all is well
 */
export function findViolations(bench: PlanBench): readonly string[] {
  const open = planRecords(bench).filter(
    ({ status }) => status === 'running' || status === 'undoing',
  );
  const leases = rowsOf(bench, LEASES_TABLE).filter(
    ({ key }) => key !== FENCING_KEY && !key.startsWith(VM_KEY_PREFIX),
  );
  return [
    ...open.map(({ plan, status, step }) => `${plan.summary} is ${status} at step ${step}`),
    ...lateOrders(bench.taken).map(({ engine, fencing }) => `late order ${fencing} to ${engine}`),
    ...leases.map(({ key }) => `lease of ${key} is left`),
    ...rowsOf(bench, CLAIMS_TABLE).map(({ key }) => `claim on ${key} is left`),
    ...engineFaults(bench),
    ...auditFaults(bench),
  ];
}

/** At rest every engine holds what the configuration says. */
function engineFaults(bench: PlanBench): readonly string[] {
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
    return isSame ? [] : [`${engine.id} does not hold what the configuration says`];
  });
}

function auditFaults(bench: PlanBench): readonly string[] {
  const trail = rowsOf(bench, AUDIT_TABLE)
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
