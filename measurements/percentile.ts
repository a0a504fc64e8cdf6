/** Percentiles of measured times. */

import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** @param values whole or fractional milliseconds; rounded up */
export function createHistogram(values: readonly number[]): Histogram {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.ceil(value));
  return histogram;
}

/** @returns the value at this percentile, 0 to 100 */
export function percentile(histogram: Histogram, at: number): number {
  return at >= 100 ? histogram.maxValue : histogram.getValueAtPercentile(at);
}
