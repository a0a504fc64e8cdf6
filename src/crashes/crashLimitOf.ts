/** How many crashes are held against a content of each kind. */

import type { CrashLimit } from './crashTally';

/** Contents are refused for long, since each further trial costs a server. */
const VALID_MS = 600_000;

/**
 * Two servers can end under a sound request that follows a harmful one to its second server. Parts of prompts
 * are in many requests, so more of them are on a server by chance.
 */
const LIMITS: Readonly<Record<string, CrashLimit>> = {
  request: { maxCrashes: 3, validMs: VALID_MS, isWholeRequest: true },
  part: { maxCrashes: 4, validMs: VALID_MS },
};

/** Contents of a kind that only VMs of another version know are never refused. */
const NO_LIMIT: CrashLimit = { maxCrashes: Number.POSITIVE_INFINITY, validMs: VALID_MS };

/** @param content as `listContents` writes it: the kind, a colon and the rest */
export function crashLimitOf(content: string): CrashLimit {
  return LIMITS[content.split(':', 1)[0] ?? ''] ?? NO_LIMIT;
}
