/** Decides how content may run, based on the crashes attributed to it. */

import { hasCrashedTooOften } from '../crashes/hasCrashedTooOften';
import { MAX_CRASHES, SUSPECT_EXPIRY_MS } from './constants';
import type { Router } from './router';

/** `alone`: only on its designated servers and while they run no other suspect. */
export type Verdict = 'free' | 'alone' | 'refused';

/**
 * @param router the router
 * @param fingerprint fingerprint of the content
 * @param atMs the current time
 */
export function evaluateContent(router: Router, fingerprint: string, atMs: number): Verdict {
  const record = router.crashHistory.records.get(fingerprint);
  if (record === undefined || atMs - record.lastCrashAtMs >= SUSPECT_EXPIRY_MS) return 'free';
  const limit = { maxCrashes: MAX_CRASHES, validMs: SUSPECT_EXPIRY_MS };
  if (hasCrashedTooOften(record, limit, atMs)) return 'refused';
  return record.isCleared ? 'free' : 'alone';
}
