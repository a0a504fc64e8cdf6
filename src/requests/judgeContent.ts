/** Says how a content may run, by the crashes that are held against it. */

import { MAX_CRASHES, SUSPECT_MS } from './constants';
import type { Router } from './router';

/** `alone`: on its designated servers, with no other suspect there. */
export type Verdict = 'free' | 'alone' | 'refused';

/**
 * @param router the router
 * @param fingerprint of the content
 * @param atMs now
 */
export function judgeContent(router: Router, fingerprint: string, atMs: number): Verdict {
  const record = router.suspicion.records.get(fingerprint);
  if (record === undefined || atMs - record.lastCrashAtMs >= SUSPECT_MS) return 'free';
  if (record.crashes >= MAX_CRASHES) return 'refused';
  return record.isCleared ? 'free' : 'alone';
}
