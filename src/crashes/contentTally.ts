/**
 * Crashes of one content as all VMs know them. Both lists only grow, so VMs can exchange and join them in any
 * order, and none needs the clock of another.
 */

import type { CrashTally } from './crashTally';

export interface ContentTally extends CrashTally {
  /** Those of the servers whose crash the content did not cause, since it has run elsewhere without one. */
  readonly disproved: readonly string[];
}

/** What a VM tells the others of one content. */
export interface ContentReport {
  readonly content: string;
  readonly servers: readonly string[];
  readonly disproved: readonly string[];
  /** Time since the last crash, milliseconds. */
  readonly ageMs: number;
}
