/** Tables, keys and row values of the plans component; values are JSON text. */

import type { PlanId } from './plan';
import type { PlanRecord } from './planRecord';

/** One row for each plan, under its id. */
export const PLANS_TABLE = 'plans';

/** One row for each plan that runs, under its id, and the counter of fencing numbers. */
export const LEASES_TABLE = 'plan-leases';

/** Exclusive claims of running plans: one row for each object, engine or model capacity. */
export const CLAIMS_TABLE = 'plan-claims';

/** The audit trail: the head, and one row for each entry. */
export const AUDIT_TABLE = 'audit';

/** Key of the row that names the last entry of the audit trail. */
export const AUDIT_HEAD_KEY = 'head';

/** Digits of an entry's number in its key, so that keys sort as numbers. */
const SEQUENCE_DIGITS = 12;

export function formatAuditKey(sequence: number): string {
  return `entry/${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Encodes a plan's row. */
export function encodePlanRecord(record: PlanRecord): string {
  return JSON.stringify(record);
}

/** Decodes a plan's row without validation, because only this program writes these rows. */
export function decodePlanRecord(value: string): PlanRecord {
  return JSON.parse(value) as PlanRecord;
}

/** The lease under which a VM executes a plan. */
export interface Lease {
  /** VM and incarnation; empty before the first claim. */
  readonly holder: string;
  /** Increases with every holder of any plan; 0 before the first claim. */
  readonly fencing: number;
  /** Id of the last write of this row. */
  readonly marker: string;
}

/** Key of the counter of fencing numbers, which all plans share because they share engines. */
export const FENCING_KEY = '#fencing';

/** Value of the counter's row. */
export interface FencingCounter {
  readonly last: number;
}

/** Prefix of the keys of rows that order VMs to leave: `vm/<VM>/<plan>`. */
export const VM_KEY_PREFIX = 'vm/';

/** An order to a VM to leave, and whether the VM has acknowledged it. */
export interface VmOrder {
  readonly plan: PlanId;
  readonly state: 'told' | 'leaving';
}

/** Value of a claim's row. */
export interface Claim {
  readonly plan: PlanId;
}
