/** Decides whether a content is refused for the crashes that it may have caused. */

import type { CrashLimit, CrashTally } from './crashTally';

/** @param atMs the current time */
export function hasCrashedTooOften(
  { crashes, lastCrashAtMs }: CrashTally,
  { maxCrashes, validMs }: CrashLimit,
  atMs: number,
): boolean {
  return crashes >= maxCrashes && atMs - lastCrashAtMs < validMs;
}
