/** How many crashes are held against a content of each kind, and for how long it is refused. */

import type { CrashLimit } from './crashTally';

export interface ContentLimit extends CrashLimit {
  /** Whether the content is a whole request: refusing it costs no other request anything. */
  readonly isWholeRequest: boolean;
  /** Time for which it is refused after the crash that reaches the limit, milliseconds. */
  readonly holdMs: number;
}

const VALID_MS = 600_000;

/**
 * Two servers can end under a sound request that follows a harmful one to its second server. Parts of prompts
 * are in many requests, so more of them are on a server by chance, and more are sent before a trial has ended.
 */
const LIMITS: Readonly<Record<string, ContentLimit>> = {
  request: { maxCrashes: 3, validMs: VALID_MS, isWholeRequest: true, holdMs: 20_000 },
  part: { maxCrashes: 4, validMs: VALID_MS, isWholeRequest: false, holdMs: 60_000 },
};

/** Contents of a kind that only VMs of another version know are never refused. */
const NO_LIMIT: ContentLimit = {
  maxCrashes: Number.POSITIVE_INFINITY,
  validMs: VALID_MS,
  isWholeRequest: false,
  holdMs: 0,
};

/** @param content as `listContents` writes it: the kind, a colon and the rest */
export function crashLimitOf(content: string): ContentLimit {
  return LIMITS[content.split(':', 1)[0] ?? ''] ?? NO_LIMIT;
}
