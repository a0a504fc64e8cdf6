/** Tables and keys of the plans side, and the values of its rows, JSON text. */

import type { PlanId } from './plan';
import type { PlanRecord } from './planRecord';

/** One row for each plan, under its id. */
export const PLANS_TABLE = 'plans';

/** One row for each plan that runs, under its id, and the counter of fencing numbers. */
export const LEASES_TABLE = 'plan-leases';

/** What a running plan keeps from others: one row for each object, engine or model capacity. */
export const CLAIMS_TABLE = 'plan-claims';

/** The audit trail: the head, and one row for each entry. */
export const AUDIT_TABLE = 'audit';

/** Names the last entry of the audit trail. */
export const AUDIT_HEAD_KEY = 'head';

/** Digits of an entry's number in its key, so that keys sort as numbers. */
const SEQUENCE_DIGITS = 12;

/** Key of an audit entry. */
export function auditKey(sequence: number): string {
  return `entry/${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Turns a plan's row into text. */
export function encodePlanRecord(record: PlanRecord): string {
  return JSON.stringify(record);
}

/** Reads a plan's row; rows are written by this program alone. */
export function decodePlanRecord(value: string): PlanRecord {
  return JSON.parse(value) as PlanRecord;
}

/** Who carries out a plan, and until when it may. */
export interface Lease {
  /** VM and incarnation; empty where nobody took it yet. */
  readonly holder: string;
  /** Grows with every holder of any plan; 0 where nobody took it yet. */
  readonly fencing: number;
  /** Id of the last write of this row. */
  readonly marker: string;
}

/** Key of the counter of fencing numbers, which all plans share because they share engines. */
export const FENCING_KEY = '#fencing';

/** The counter's row. */
export interface FencingCounter {
  readonly last: number;
}

/** Start of the keys of rows that tell VMs to leave: `vm/<VM>/<plan>`. */
export const VM_KEY_PREFIX = 'vm/';

/** What a VM is told, and what it has answered. */
export interface VmOrder {
  readonly plan: PlanId;
  readonly state: 'told' | 'leaving';
}

/** What a claim's row says. */
export interface Claim {
  readonly plan: PlanId;
}
