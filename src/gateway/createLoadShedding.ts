/**
 * Decides when a VM that can't keep up leaves new callers to the other VMs. The load pattern: one VM of several gets
 * much less processor time than the others for some seconds, so that its streams wait for it while the others idle.
 * Where most VMs are in the same state, leaving callers to each other would help none of them.
 */

import type { LagMonitor } from './createLagMonitor';
import type { LogFields } from './job';

export interface LoadShedding {
  /** Decides anew; called often. */
  readonly check: () => void;
  /** Whether callers should use other VMs. */
  readonly isShedding: () => boolean;
}

export interface LoadSheddingOptions {
  readonly lag: Pick<LagMonitor, 'meanLagMs'>;
  /** Other VMs: how many there are, and how many of them accept callers and reach the backend servers. */
  readonly countPeers: () => { readonly all: number; readonly accepting: number };
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

/** Mean lag from which a VM sheds load, and below which it has recovered, milliseconds. */
const OVERLOADED_LAG_MS = 80;
const RECOVERED_LAG_MS = 20;

/** Time for which the lag must be low before callers come back, milliseconds: slow phases last for seconds. */
const RECOVERED_AFTER_MS = 1_500;

/** Share of the other VMs that must accept callers. */
const MIN_ACCEPTING_SHARE = 0.5;

/** Creates the decision of a VM that keeps up. */
export function createLoadShedding(options: LoadSheddingOptions): LoadShedding {
  const { lag, countPeers, now, log, count } = options;
  let isShedding = false;
  let lastHighMs = Number.NEGATIVE_INFINITY;
  const haveOthersRoom = (): boolean => {
    const { all, accepting } = countPeers();
    return accepting > 0 && accepting >= all * MIN_ACCEPTING_SHARE;
  };
  return {
    check: () => {
      const meanLagMs = lag.meanLagMs();
      if (meanLagMs >= RECOVERED_LAG_MS) lastHighMs = now();
      const wasShedding = isShedding;
      const isStillHigh = isShedding && now() - lastHighMs < RECOVERED_AFTER_MS;
      isShedding = (meanLagMs >= OVERLOADED_LAG_MS || isStillHigh) && haveOthersRoom();
      if (isShedding === wasShedding) return;
      count('load_shedding', isShedding ? 'begun' : 'ended');
      log('load shedding', { isShedding, meanLagMs: Math.round(meanLagMs) });
    },
    isShedding: () => isShedding,
  };
}
