/**
 * Tells which crashes a content did not cause, from runs that did no harm shortly before. A content that ends servers
 * may do so some time after it has begun. It is therefore cleared only by a run that is complete or has lasted clearly
 * longer than the run before the crash.
 */

import { LRUCache } from 'lru-cache';

export interface HarmlessRuns {
  /**
   * Records that a request with these contents has run without ending its server.
   *
   * @param ranMs time for which it has run so far, milliseconds; infinity if it is complete
   */
  readonly record: (contents: readonly string[], ranMs: number) => void;
  /** Records for how long a content had run when its server crashed; unknown for crashes that other VMs report. */
  readonly recordCrash: (content: string, server: string, ranMs: number) => void;
  /** Whether a run of just now shows that the content did not cause the crash of the server. */
  readonly disproves: (content: string, server: string) => boolean;
}

/** Time for which a harmless run clears its content of crashes that are learned of later, milliseconds. */
const VALID_MS = 2_000;

/** How much longer than the run before a crash another one must last to clear a content. */
const LONGER_FACTOR = 1.5;
const LONGER_MS = 500;

const MAX_CONTENTS = 4_096;

interface Run {
  readonly atMs: number;
  readonly ranMs: number;
}

/** @param now monotonic clock, milliseconds */
export function createHarmlessRuns(now: () => number): HarmlessRuns {
  const runs = new LRUCache<string, Run>({ max: MAX_CONTENTS });
  /** By content and server. */
  const ranBeforeMs = new LRUCache<string, number>({ max: MAX_CONTENTS });
  const getRecent = (content: string): Run | undefined => {
    const run = runs.get(content);
    return run === undefined || now() - run.atMs >= VALID_MS ? undefined : run;
  };
  return {
    record: (contents, ranMs) => {
      for (const content of contents) {
        const longestMs = Math.max(ranMs, getRecent(content)?.ranMs ?? 0);
        runs.set(content, { atMs: now(), ranMs: longestMs });
      }
    },
    recordCrash: (content, server, ranMs) => {
      ranBeforeMs.set(formatRun(content, server), ranMs);
    },
    disproves: (content, server) => {
      const run = getRecent(content);
      if (run === undefined) return false;
      const ranMs = ranBeforeMs.get(formatRun(content, server)) ?? Number.POSITIVE_INFINITY;
      return run.ranMs >= ranMs * LONGER_FACTOR + LONGER_MS;
    },
  };
}

function formatRun(content: string, server: string): string {
  return `${content} ${server}`;
}
