/** Counts a crash of a server against a content, once however many requests of the content ran on it. */

import type { CrashLimit, CrashTally } from './crashTally';

/**
 * @param tally the crashes of the content so far; undefined if there are none
 * @param server the incarnation that crashed
 * @param atMs the current time
 * @returns the tally with the crash; a tally whose crashes no longer count starts anew
 */
export function addCrash(
  tally: CrashTally | undefined,
  server: string,
  atMs: number,
  { validMs }: Pick<CrashLimit, 'validMs'>,
): CrashTally {
  const isValid = tally !== undefined && atMs - tally.lastCrashAtMs < validMs;
  if (!isValid) return { servers: [server], crashes: 1, lastCrashAtMs: atMs };
  if (tally.servers.includes(server)) return tally;
  return {
    servers: [...tally.servers, server],
    crashes: tally.crashes + 1,
    lastCrashAtMs: atMs,
  };
}
