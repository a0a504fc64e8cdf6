/** Tells what a request lacked that found no path, by searching again with one limit after the other lifted. */

import { findChain } from './findChain';
import type { ChainSearch } from './findChain';

/** `kept room` if only more urgent requests may take what is left; `layers` if no path exists whatever its load. */
export type ChainShortage = 'kept room' | 'first event delay' | 'links' | 'memory' | 'layers';

type Relaxation = Partial<ChainSearch>;

/** Limits in the order in which they are lifted; each search keeps those before it lifted. */
const RELAXATIONS: readonly (readonly [ChainShortage, Relaxation])[] = [
  ['first event delay', { maxFirstEventDelayMs: Infinity }],
  ['links', { crossDomainMs: 0 }],
  ['memory', { tokens: 0 }],
];

/** @param search a search that found no path */
export function explainShortage(search: ChainSearch): ChainShortage {
  let relaxed: ChainSearch = { ...search, maxShare: 1 };
  if ((search.maxShare ?? 1) < 1 && findChain(relaxed) !== undefined) return 'kept room';
  for (const [shortage, relaxation] of RELAXATIONS) {
    relaxed = { ...relaxed, ...relaxation };
    if (findChain(relaxed) !== undefined) return shortage;
  }
  return 'layers';
}
