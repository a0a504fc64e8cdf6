/** Joins another VM's report of a content with what this VM knows. */

import { joinCrashes } from './joinCrashes';
import type { ContentReport, ContentTally } from './contentTally';

/**
 * @param known what this VM knows; undefined if nothing
 * @param atMs the current time
 * @returns `known` itself if the report holds nothing new
 */
export function joinContentTally(
  known: ContentTally | undefined,
  { servers, disproved, ageMs }: ContentReport,
  atMs: number,
): ContentTally {
  const joined = joinCrashes(known, { servers, crashes: servers.length });
  const allDisproved = [...new Set([...(known?.disproved ?? []), ...disproved])];
  const crashedAtMs = atMs - ageMs;
  if (known === undefined) {
    return { ...joined, disproved: allDisproved, lastCrashAtMs: crashedAtMs };
  }
  const hasNewCrash = joined.crashes > known.crashes;
  if (!hasNewCrash && allDisproved.length === known.disproved.length) return known;
  // Without a new crash the known time stays: ages that VMs pass on to each other would make it ever later.
  const lastCrashAtMs = hasNewCrash
    ? Math.max(known.lastCrashAtMs, crashedAtMs)
    : known.lastCrashAtMs;
  return { ...joined, disproved: allDisproved, lastCrashAtMs };
}
