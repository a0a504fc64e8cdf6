/** Reads the era that a result of a store call states. */

import type { TableRead, WriteResult } from './watchedStore';

/** @returns undefined if there was no answer */
export function getEra(result: TableRead | WriteResult): number | undefined {
  if (result.type === 'rows' || result.type === 'committed') return result.position.era;
  return result.type === 'ambiguous' ? undefined : result.era;
}
