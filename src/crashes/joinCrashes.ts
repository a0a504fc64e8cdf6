/** Joins what two VMs know of the crashes of one content, so that a crash that both saw counts once. */

import type { CrashTally } from './crashTally';

export type KnownCrashes = Partial<Pick<CrashTally, 'servers'>> & Pick<CrashTally, 'crashes'>;

/**
 * @param one what is known; undefined if nothing is
 * @param other what another VM knows
 * @returns the crashes of both; those of different servers are different crashes
 */
export function joinCrashes(
  one: KnownCrashes | undefined,
  other: KnownCrashes,
): Pick<CrashTally, 'servers' | 'crashes'> {
  const servers = [...new Set([...(one?.servers ?? []), ...(other.servers ?? [])])];
  return { servers, crashes: Math.max(one?.crashes ?? 0, other.crashes, servers.length) };
}
