/**
 * The part of a fleet-wide limit that one VM may use without asking the others. Each VM always has an
 * even part. Beyond that it may add, for each digest of the others' use, an even part of what is left.
 * So the VMs together reach at most `2 - 1/vms` times the limit, and that only until the next digests:
 * where one VM held the whole limit and all others start at once.
 */

/** What is known of the use of a limit. */
export interface LimitUse {
  /** Own use when the others' was last learned. */
  readonly own: number;
  /** Use of all other VMs together. */
  readonly others: number;
  /** VMs that accept new work, this one included. */
  readonly vms: number;
}

/**
 * @param limit the limit for the fleet
 * @param use what is known of its use
 * @returns how much of the limit this VM may use, at most the whole
 */
export function ownPart(limit: number, { own, others, vms }: LimitUse): number {
  const even = limit / vms;
  const left = limit - own - others;
  return Math.min(limit, Math.max(even, own + left / vms));
}
