/**
 * Keeps which contents may be the cause of crashes, from this VM's own runs and from the other VMs' reports,
 * and says which are refused. A run counts against its contents if its connection was lost before it had shown
 * that they do no harm, and its server has ended. A content that runs without a crash is cleared of those
 * before: one that ends servers ends each server that begins to run it.
 */

import { Map as ImmutableMap } from 'immutable';
import { LRUCache } from 'lru-cache';
import { addCrash } from '../crashes/addCrash';
import type { ContentReport, ContentTally } from '../crashes/contentTally';
import type { CrashLimit } from '../crashes/crashTally';
import { hasCrashedTooOften } from '../crashes/hasCrashedTooOften';
import { joinContentTally } from '../crashes/joinContentTally';
import { listOpenCrashes } from '../crashes/listOpenCrashes';
import { pruneCrashTallies } from '../crashes/pruneCrashTallies';
import type { ServerRegistry } from './serverRegistry';
import type { LogFields } from './job';

/** An incarnation of a backend server. */
export interface ServerIncarnation {
  readonly id: string;
  /** Start, Unix milliseconds. */
  readonly bornMs: number;
}

export interface ContentSuspicions {
  /** Time for which a request with the content is refused, milliseconds; 0 if it may run. */
  readonly heldMs: (content: string) => number;
  /** Records a run whose connection the server lost. */
  readonly recordLoss: (server: ServerIncarnation, content: string) => void;
  /** Records that the content has run without ending its server. */
  readonly recordHarmlessRun: (content: string) => void;
  /** Joins what another VM reports. */
  readonly merge: (reports: readonly ContentReport[]) => void;
  /** Takes the reports that are due to be sent: new ones first, the others once in a while. */
  readonly takeReports: (limit: number) => readonly ContentReport[];
  /** Called when there is something new to report. */
  readonly onNews: (listener: () => void) => void;
}

export interface ContentSuspicionsOptions {
  /** Tells of servers that have ended, and of those that answer all the same. */
  readonly registry: Pick<ServerRegistry, 'onEnded' | 'onAnswer'>;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

/**
 * Two servers can end under a sound request that follows a harmful one to its second server; contents are
 * refused for long, since each further trial costs a server.
 */
const LIMIT: CrashLimit = { maxCrashes: 3, validMs: 600_000 };

/** Time within which a loss and the end of its server belong together, milliseconds. */
const LOSS_VALID_MS = 3_000;

/** Time for which a harmless run clears its content of crashes that are learned of later, milliseconds. */
const HARMLESS_VALID_MS = 2_000;

/** Time between two reports of a content about which nothing is new, for VMs that have missed it. */
const REPORT_INTERVAL_MS = 1_000;

/** Time for which a content is reported that was cleared of all crashes. */
const CLEARED_KEPT_MS = 10_000;

/** Before any time of the clock. */
const NEVER_MS = -1;

const MAX_CONTENTS = 1_000;
const MAX_HARMLESS_CONTENTS = 4_096;
const MAX_LOSSES = 1_000;

interface Loss {
  readonly server: string;
  readonly content: string;
  readonly atMs: number;
}

/** Creates a record without contents. */
export function createContentSuspicions(options: ContentSuspicionsOptions): ContentSuspicions {
  const { registry, now, log, count } = options;
  let tallies: ImmutableMap<string, ContentTally> = ImmutableMap();
  let losses: readonly Loss[] = [];
  const endedMs = new LRUCache<string, number>({ max: MAX_LOSSES });
  const harmlessMs = new LRUCache<string, number>({ max: MAX_HARMLESS_CONTENTS });
  const reportedMs = new Map<string, number>();
  const listeners: (() => void)[] = [];

  const isRecent = (atMs: number | undefined, validMs: number): boolean =>
    atMs !== undefined && now() - atMs < validMs;
  const computeHeldMs = (tally: ContentTally | undefined): number => {
    if (tally === undefined) return 0;
    const open = { ...tally, crashes: listOpenCrashes(tally).length };
    if (!hasCrashedTooOften(open, LIMIT, now())) return 0;
    return tally.lastCrashAtMs + LIMIT.validMs - now();
  };
  const getReportedMs = (content: string): number => reportedMs.get(content) ?? NEVER_MS;
  const store = (content: string, tally: ContentTally): void => {
    const before = tallies.get(content);
    if (before === tally) return;
    const bounds = { maxTallies: MAX_CONTENTS, validMs: LIMIT.validMs };
    tallies = (before === undefined ? pruneCrashTallies(tallies, now(), bounds) : tallies).set(
      content,
      tally,
    );
    reportedMs.delete(content);
    logChange(content, before, tally);
    for (const listener of listeners) listener();
  };
  const logChange = (
    content: string,
    before: ContentTally | undefined,
    tally: ContentTally,
  ): void => {
    const wasHeld = computeHeldMs(before) > 0;
    const heldMs = Math.round(computeHeldMs(tally));
    const crashes = listOpenCrashes(tally).length;
    if (!wasHeld && heldMs > 0) {
      count('contents_held_back');
      log('content held back', { content, crashes, servers: tally.servers.join(' '), heldMs });
    } else if (wasHeld && heldMs <= 0) log('content cleared', { content, crashes });
  };
  const disprove = (content: string, servers: readonly string[]): void => {
    const tally = tallies.get(content);
    if (tally === undefined) return;
    const disproved = new Set([...tally.disproved, ...servers]);
    if (disproved.size > tally.disproved.length) {
      store(content, { ...tally, disproved: [...disproved] });
    }
  };
  /** A content that has run without harm just now did not cause the crashes reported of it. */
  const disproveIfHarmless = (content: string): void => {
    const tally = tallies.get(content);
    if (tally === undefined || !isRecent(harmlessMs.get(content), HARMLESS_VALID_MS)) return;
    disprove(content, listOpenCrashes(tally));
  };
  const attribute = (server: string, content: string): void => {
    if (isRecent(harmlessMs.get(content), HARMLESS_VALID_MS)) return;
    const known = tallies.get(content);
    const tally = addCrash(known, server, now(), LIMIT);
    if (tally === known) return;
    log('content suspected', { content, server, crashes: tally.crashes });
    const disproved = tally.crashes === 1 ? [] : (known?.disproved ?? []);
    store(content, { ...tally, disproved });
  };
  const removeOutdated = (): void => {
    const isOutdated = (tally: ContentTally): boolean => {
      const ageMs = now() - tally.lastCrashAtMs;
      const isCleared = listOpenCrashes(tally).length === 0;
      return ageMs >= (isCleared ? CLEARED_KEPT_MS : LIMIT.validMs);
    };
    for (const [content, tally] of tallies) {
      if (!isOutdated(tally)) continue;
      tallies = tallies.remove(content);
      reportedMs.delete(content);
    }
  };

  registry.onEnded((incarnation) => {
    const server = formatIncarnation(incarnation);
    endedMs.set(server, now());
    const own = losses.filter((loss) => loss.server === server);
    losses = losses.filter((loss) => loss.server !== server);
    for (const { content, atMs } of own) {
      if (isRecent(atMs, LOSS_VALID_MS)) attribute(server, content);
    }
  });
  registry.onAnswer((incarnation) => {
    const server = formatIncarnation(incarnation);
    endedMs.delete(server);
    for (const [content, { servers }] of tallies) {
      if (servers.includes(server)) disprove(content, [server]);
    }
  });

  return {
    heldMs: (content) => computeHeldMs(tallies.get(content)),
    recordLoss: (incarnation, content) => {
      const server = formatIncarnation(incarnation);
      if (isRecent(endedMs.get(server), LOSS_VALID_MS)) attribute(server, content);
      else {
        const recent = losses.filter(({ atMs }) => isRecent(atMs, LOSS_VALID_MS));
        losses = [...recent.slice(1 - MAX_LOSSES), { server, content, atMs: now() }];
      }
    },
    recordHarmlessRun: (content) => {
      harmlessMs.set(content, now());
      disproveIfHarmless(content);
    },
    merge: (reports) => {
      for (const report of reports) {
        const { content } = report;
        store(content, joinContentTally(tallies.get(content), report, now()));
        disproveIfHarmless(content);
      }
    },
    takeReports: (limit) => {
      removeOutdated();
      const due = [...tallies]
        .filter(([content]) => !isRecent(reportedMs.get(content), REPORT_INTERVAL_MS))
        .sort(([one], [other]) => getReportedMs(one) - getReportedMs(other))
        .slice(0, limit);
      for (const [content] of due) reportedMs.set(content, now());
      return due.map(([content, { servers, disproved, lastCrashAtMs }]) => ({
        content,
        servers,
        disproved,
        ageMs: now() - lastCrashAtMs,
      }));
    },
    onNews: (listener) => {
      listeners.push(listener);
    },
  };
}

function formatIncarnation({ id, bornMs }: ServerIncarnation): string {
  return `${id}/${bornMs}`;
}
