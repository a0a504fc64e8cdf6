/** Takes the suspects of other VMs in. */

import { MAX_SUSPECTS } from './constants';
import type { Router } from './router';
import type { RouterEvent, Suspect } from './routerMessage';
import type { SuspectRecord } from './suspicion';

type SuspectsLearned = Extract<RouterEvent, { readonly type: 'suspects-learned' }>;

/** @returns the router with the suspects; what several VMs saw of one crash counts once */
export function learnSuspects(router: Router, { suspects, atMs }: SuspectsLearned): Router {
  let { records } = router.suspicion;
  for (const suspect of suspects) {
    const known = records.get(suspect.fingerprint);
    if (known === undefined && records.size >= MAX_SUSPECTS) continue;
    records = records.set(suspect.fingerprint, join(known, suspect, atMs));
  }
  return { ...router, suspicion: { ...router.suspicion, records } };
}

function join(known: SuspectRecord | undefined, suspect: Suspect, atMs: number): SuspectRecord {
  const servers = [...new Set([...(known?.servers ?? []), ...(suspect.servers ?? [])])];
  const crashes = Math.max(known?.crashes ?? 0, suspect.crashes, servers.length);
  const lastCrashAtMs = Math.max(known?.lastCrashAtMs ?? -Infinity, atMs - suspect.ageMs);
  const isCleared = known !== undefined && known.isCleared && crashes === known.crashes;
  return { servers, crashes, lastCrashAtMs, isCleared };
}
