/**
 * Decides which contents a VM reports to the others, and when. The load: engines that are lost together leave hundreds of
 * contents, each with several crashes that several VMs have seen. If all VMs of a large fleet announced what each of them
 * hears, every crash would be sent around once for each VM; there, only relays announce what others have seen.
 */

import type { ContentTally } from './contentTally';

export interface Passing {
  /** Whether what this VM knows from others only is reported too; by default it is. */
  readonly passesOn?: boolean;
}

export interface ReportSchedule {
  /** Makes a content due that this VM has news of. */
  readonly announce: (content: string, origin: 'seen' | 'heard') => void;
  /** Records that this VM knows a content from other VMs, and leaves it to them. */
  readonly hear: (content: string) => void;
  readonly forget: (content: string) => void;
  /** Takes the contents that are due: new ones first, then those with most crashes. */
  readonly takeDue: (
    tallies: Iterable<readonly [string, ContentTally]>,
    limit: number,
    passing?: Passing,
  ) => readonly (readonly [string, ContentTally])[];
}

/** Time between two reports of a content about which nothing is new, for VMs that have missed it, milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Before any time of the clock. */
const NEVER_MS = -1;

/** @param now monotonic clock, milliseconds */
export function createReportSchedule(now: () => number): ReportSchedule {
  const reportedMs = new Map<string, number>();
  /** Contents that only other VMs have seen. */
  const heard = new Set<string>();
  const getReportedMs = (content: string): number => reportedMs.get(content) ?? NEVER_MS;
  const isDue = (content: string): boolean => {
    const atMs = reportedMs.get(content);
    return atMs === undefined || now() - atMs >= REPORT_INTERVAL_MS;
  };
  return {
    announce: (content, origin) => {
      if (origin === 'seen') heard.delete(content);
      reportedMs.delete(content);
    },
    hear: (content) => {
      heard.add(content);
    },
    forget: (content) => {
      reportedMs.delete(content);
      heard.delete(content);
    },
    takeDue: (tallies, limit, { passesOn = true } = {}) => {
      const due = [...tallies]
        .filter(([content]) => (passesOn || !heard.has(content)) && isDue(content))
        .sort(
          ([one, { crashes }], [other, { crashes: otherCrashes }]) =>
            getReportedMs(one) - getReportedMs(other) || otherCrashes - crashes,
        )
        .slice(0, limit);
      for (const [content] of due) reportedMs.set(content, now());
      return due;
    },
  };
}
