/** Checks servers that other VMs report, before their word is trusted: they may be cut off themselves. */

import type { ServerProbes } from './createServerProbes';
import type { ServerRegistry } from './serverRegistry';

export interface ReportedServerChecks {
  /** Handles a server that a peer reports as not answering. */
  readonly onSuspected: (id: string, bornMs: number) => void;
  /** Handles a server that a relay no longer reports as not answering. */
  readonly onRecovered: (id: string) => void;
}

/** @returns handlers for the reports of peers */
export function checkReportedServers(
  { find, suspicions }: Pick<ServerRegistry, 'find' | 'suspicions'>,
  { check }: Pick<ServerProbes, 'check'>,
): ReportedServerChecks {
  const isKnown = (id: string): boolean => suspicions().some((suspicion) => suspicion.id === id);
  return {
    onSuspected: (id, bornMs) => {
      if (find(id)?.bornMs === bornMs && !isKnown(id)) void check(id, 'reported');
    },
    onRecovered: (id) => {
      if (isKnown(id)) void check(id, 'reported');
    },
  };
}
