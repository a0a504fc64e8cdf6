/** A percentile of a list of figures. */

/**
 * @param values the figures, in any order
 * @param part the part of them that is at most the answer, 0 to 1
 * @returns the figure, or NaN where there is none
 */
export function percentileOf(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? NaN;
}
