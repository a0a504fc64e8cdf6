/** Bounds the calls to the store that one change causes in a large fleet. */

/** Pause of a small fleet after a change, milliseconds: what changes together is read together. */
const SHORTEST_MS = 120;

/** Longest pause, milliseconds; well below the time in which a leaving server must be left alone. */
const LONGEST_MS = 800;

/** Pause for each VM, milliseconds: every VM reads every change, so calls grow with both. */
const PER_VM_MS = 11;

/**
 * @param vms VMs that follow the same table
 * @returns pause between two reads of changes, milliseconds
 */
export function settleTime(vms: number): number {
  return Math.min(LONGEST_MS, Math.max(SHORTEST_MS, vms * PER_VM_MS));
}
