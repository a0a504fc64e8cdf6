/**
 * Computes the part of a fleet-wide limit that one VM may use without coordination. Each VM always has
 * an even part. With each digest of the others' usage it may add an even part of the unused remainder.
 * The VMs together use at most `2 - 1/vms` times the limit. This worst case occurs when one VM used the
 * entire limit and all others start at the same time, and it lasts only until the next digests.
 */

/** Known usage of a fleet-wide limit. */
export interface LimitUsage {
  /** Own usage when the others' usage was last received. */
  readonly own: number;
  /** Total usage of all other VMs. */
  readonly others: number;
  /** VMs that accept new work, this one included. */
  readonly vms: number;
}

/**
 * @param limit the limit for the fleet
 * @param usage known usage of the limit
 * @returns the part of the limit that this VM may use
 */
export function computeLocalLimit(limit: number, { own, others, vms }: LimitUsage): number {
  const evenPart = limit / vms;
  const unused = limit - own - others;
  return Math.min(limit, Math.max(evenPart, own + unused / vms));
}
