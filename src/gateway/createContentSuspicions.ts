/**
 * Keeps which contents may be the cause of crashes, from this VM's own runs and from the other VMs' reports,
 * and says which requests are refused. A run counts against its contents if it was lost, or left without an answer, and
 * its server has ended. A content that runs without a crash is cleared of those before: one that ends servers ends each
 * server that begins to run it. It may do so some time after the begin, so only a run that is complete or has lasted
 * clearly longer clears it.
 */

import { Map as ImmutableMap } from 'immutable';
import { LRUCache } from 'lru-cache';
import { addCrash } from '../crashes/addCrash';
import { choosePrimeSuspect } from '../crashes/choosePrimeSuspect';
import { createReportSchedule } from '../crashes/createReportSchedule';
import { crashLimitOf } from '../crashes/crashLimitOf';
import type { ContentReport, ContentTally } from '../crashes/contentTally';
import { LOSS_VALID_MS } from './contentSuspicions';
import type { ContentSuspicions, ServerIncarnation } from './contentSuspicions';
import type { Culprits } from '../crashes/findCulprits';
import { findCulprits } from '../crashes/findCulprits';
import { joinContentTally } from '../crashes/joinContentTally';
import { listOpenCrashes } from '../crashes/listOpenCrashes';
import { pruneCrashTallies } from '../crashes/pruneCrashTallies';
import { createContentArrivals } from './createContentArrivals';
import { createHarmlessRuns } from './createHarmlessRuns';
import type { ServerRegistry } from './serverRegistry';
import type { LogFields } from './job';

export interface ContentSuspicionsOptions {
  /** Tells of servers that have ended, and of those that answer all the same. */
  readonly registry: Pick<ServerRegistry, 'onEnded' | 'onAnswer'>;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

/**
 * Time after a crash in which one of the contents that can't be told apart waits for the others to run, milliseconds.
 * Only complete runs tell them apart, and streams last for some seconds.
 */
const SEPARATION_MS = 10_000;

/** Longest time for which a part is refused that nearly all requests hold: little else is served meanwhile. */
const WIDESPREAD_HOLD_MS = 5_000;

/** Time for which crashes are kept, milliseconds. */
const TALLY_VALID_MS = 600_000;

/** Time for which a content is reported that was cleared of all crashes. */
const CLEARED_KEPT_MS = 10_000;

const MAX_CONTENTS = 1_000;
const CONTENTS_DROPPED_AT_ONCE = 100;
const MAX_LOSSES = 1_000;

interface HeldGroup extends Culprits {
  /** The one of its contents that waits until the others have run; undefined if all may. */
  readonly primeSuspect: string | undefined;
}

interface Loss {
  readonly server: string;
  readonly contents: readonly string[];
  /** Time until which an end of the server belongs to the loss, milliseconds. */
  readonly untilMs: number;
  readonly ranMs: number;
}

/** Creates a record without contents. */
export function createContentSuspicions(options: ContentSuspicionsOptions): ContentSuspicions {
  const { registry, now, log, count } = options;
  let tallies: ImmutableMap<string, ContentTally> = ImmutableMap();
  let culprits: readonly HeldGroup[] = [];
  /** Whether `culprits` follows from the tallies as they are. */
  let areCulpritsKnown = true;
  let losses: readonly Loss[] = [];
  const endedMs = new LRUCache<string, number>({ max: MAX_LOSSES });
  const harmlessRuns = createHarmlessRuns(now);
  const arrivals = createContentArrivals(now);
  const schedule = createReportSchedule(now);
  const listeners: (() => void)[] = [];

  const isRecent = (atMs: number | undefined, validMs: number): boolean =>
    atMs !== undefined && now() - atMs < validMs;
  /** Drops contents with a single crash if there are any, and others only while they are not refused. */
  const makeRoom = (): void => {
    if (tallies.size < MAX_CONTENTS) return;
    const refused = new Set(culprits.flatMap(({ contents }) => contents));
    const single = tallies.filter(({ crashes }) => crashes === 1);
    const dispensable =
      single.size > 0 ? single : tallies.filter((_, content) => !refused.has(content));
    const rest = tallies.filter((_, content) => !dispensable.has(content));
    const maxTallies = Math.max(1, dispensable.size - CONTENTS_DROPPED_AT_ONCE);
    const bounds = { maxTallies, validMs: TALLY_VALID_MS };
    tallies = rest.merge(pruneCrashTallies(dispensable, now(), bounds));
    for (const content of dispensable.keys()) if (!tallies.has(content)) schedule.forget(content);
  };
  const keep = (content: string, tally: ContentTally): void => {
    if (!tallies.has(content)) makeRoom();
    tallies = tallies.set(content, tally);
    areCulpritsKnown = false;
  };
  const announce = (content: string, origin: 'seen' | 'heard'): void => {
    schedule.announce(content, origin);
    for (const listener of listeners) listener();
  };
  /** Keeps what this VM has seen itself. */
  const store = (content: string, tally: ContentTally): void => {
    if (tallies.get(content) === tally) return;
    keep(content, tally);
    announce(content, 'seen');
  };
  /** Keeps what another VM has reported. */
  const join = (report: ContentReport, passesOn: boolean): void => {
    const { content } = report;
    const before = tallies.get(content);
    const joined = joinContentTally(before, report, now());
    if (joined === before) return;
    keep(content, joined);
    if (before === undefined) schedule.hear(content);
    if (passesOn) announce(content, 'heard');
  };
  const updateCulprits = (): void => {
    if (areCulpritsKnown) return;
    areCulpritsKnown = true;
    const before = culprits;
    culprits = findCulprits(tallies, crashLimitOf, now()).map((group) => ({
      ...group,
      primeSuspect: choosePrimeSuspect(group, arrivals.rateOf),
    }));
    const untilMsBefore = new Map(before.map((group) => [formatContents(group), group.untilMs]));
    const currently = new Set(culprits.map(formatContents));
    for (const group of culprits) {
      if (untilMsBefore.get(formatContents(group)) === group.untilMs) continue;
      count('contents_held_back');
      log('content held back', {
        contents: formatContents(group),
        servers: group.servers.join(' '),
        primeSuspect: group.primeSuspect,
        heldMs: Math.round(group.untilMs - now()),
      });
    }
    for (const group of before) {
      if (!currently.has(formatContents(group)))
        log('content released', { contents: formatContents(group) });
    }
  };
  const getHeldUntilMs = (group: HeldGroup, contents: readonly string[]): number => {
    if (group.contents.every((one) => contents.includes(one))) {
      const isWidespread = group.contents.every(
        (content) => !crashLimitOf(content).isWholeRequest && arrivals.isWidespread(content),
      );
      const longestMs = isWidespread ? WIDESPREAD_HOLD_MS : Number.POSITIVE_INFINITY;
      return Math.min(group.untilMs, group.lastCrashAtMs + longestMs);
    }
    const isPrime = group.primeSuspect !== undefined && contents.includes(group.primeSuspect);
    return isPrime ? group.lastCrashAtMs + SEPARATION_MS : Number.NEGATIVE_INFINITY;
  };
  const isInGroup = (group: HeldGroup, contents: readonly string[]): boolean =>
    group.contents.every((one) => contents.includes(one)) ||
    (group.primeSuspect !== undefined && contents.includes(group.primeSuspect));
  const disprove = (content: string, servers: readonly string[]): void => {
    const tally = tallies.get(content);
    if (tally === undefined) return;
    const disproved = new Set([...tally.disproved, ...servers]);
    if (disproved.size > tally.disproved.length) {
      store(content, { ...tally, disproved: [...disproved] });
    }
  };
  const disproveIfHarmless = (content: string): void => {
    const tally = tallies.get(content);
    if (tally === undefined) return;
    const open = listOpenCrashes(tally);
    disprove(
      content,
      open.filter((server) => harmlessRuns.disproves(content, server)),
    );
  };
  const attribute = (server: string, content: string, ranMs: number): void => {
    harmlessRuns.recordCrash(content, server, ranMs);
    if (harmlessRuns.disproves(content, server)) return;
    const known = tallies.get(content);
    const tally = addCrash(known, server, now(), { validMs: TALLY_VALID_MS });
    if (tally === known) return;
    const disproved = tally.crashes === 1 ? [] : (known?.disproved ?? []);
    store(content, { ...tally, disproved });
  };
  const attributeAll = ({ server, contents, ranMs }: Omit<Loss, 'untilMs'>): void => {
    log('content suspected', { contents: contents.join(' '), server, ranMs: Math.round(ranMs) });
    for (const content of contents) attribute(server, content, ranMs);
  };
  const createReport = (content: string, tally: ContentTally): ContentReport => ({
    content,
    servers: tally.servers,
    disproved: tally.disproved,
    ageMs: Math.max(0, now() - tally.lastCrashAtMs),
  });
  const removeOutdated = (): void => {
    const isOutdated = (tally: ContentTally): boolean => {
      const isCleared = listOpenCrashes(tally).length === 0;
      return now() - tally.lastCrashAtMs >= (isCleared ? CLEARED_KEPT_MS : TALLY_VALID_MS);
    };
    for (const [content, tally] of tallies) {
      if (!isOutdated(tally)) continue;
      areCulpritsKnown = false;
      tallies = tallies.remove(content);
      schedule.forget(content);
    }
  };

  registry.onEnded((incarnation) => {
    const server = formatIncarnation(incarnation);
    endedMs.set(server, now());
    const own = losses.filter((loss) => loss.server === server);
    losses = losses.filter((loss) => loss.server !== server);
    for (const loss of own) if (now() < loss.untilMs) attributeAll(loss);
    if (own.length > 0) updateCulprits();
  });
  registry.onAnswer((incarnation) => {
    const server = formatIncarnation(incarnation);
    endedMs.delete(server);
    for (const [content, { servers }] of tallies) {
      if (servers.includes(server)) disprove(content, [server]);
    }
    updateCulprits();
  });

  return {
    recordArrival: arrivals.record,
    heldMs: (contents) =>
      Math.max(0, ...culprits.map((group) => getHeldUntilMs(group, contents) - now())),
    isSuspect: (contents) => culprits.some((group) => isInGroup(group, contents)),
    recordLoss: (incarnation, contents, { ranMs = 0, validMs = LOSS_VALID_MS } = {}) => {
      const server = formatIncarnation(incarnation);
      if (isRecent(endedMs.get(server), LOSS_VALID_MS)) {
        attributeAll({ server, contents, ranMs });
        updateCulprits();
      } else {
        const valid = losses.filter(({ untilMs }) => now() < untilMs);
        const loss = { server, contents, ranMs, untilMs: now() + validMs };
        losses = [...valid.slice(1 - MAX_LOSSES), loss];
      }
    },
    recordHarmlessRun: (contents, ranMs = Number.POSITIVE_INFINITY) => {
      harmlessRuns.record(contents, ranMs);
      if (!contents.some((content) => tallies.has(content))) return;
      for (const content of contents) disproveIfHarmless(content);
      updateCulprits();
    },
    merge: (reports, { passesOn = true } = {}) => {
      for (const report of reports) {
        join(report, passesOn);
        disproveIfHarmless(report.content);
      }
      updateCulprits();
    },
    takeReports: (limit, passing) => {
      removeOutdated();
      updateCulprits();
      const due = schedule.takeDue(tallies, limit, passing);
      return due.map(([content, tally]) => createReport(content, tally));
    },
    listKept: () => {
      updateCulprits();
      const refused = new Set(culprits.flatMap(({ contents }) => contents).toSorted());
      const isNextRefused = ([content, tally]: readonly [string, ContentTally]): boolean =>
        !refused.has(content) &&
        listOpenCrashes(tally).length >= crashLimitOf(content).maxCrashes - 1;
      const next = [...tallies].filter(isNextRefused).map(([content]) => content);
      return [...refused, ...next.toSorted()].flatMap((content) => {
        const tally = tallies.get(content);
        return tally === undefined ? [] : [createReport(content, tally)];
      });
    },
    onNews: (listener) => {
      listeners.push(listener);
    },
  };
}

function formatIncarnation({ id, bornMs }: ServerIncarnation): string {
  return `${id}/${bornMs}`;
}

function formatContents({ contents }: Culprits): string {
  return contents.toSorted().join(' ');
}
