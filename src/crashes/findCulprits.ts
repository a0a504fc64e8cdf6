/**
 * Finds the contents that have caused crashes, among all that ran on the servers that crashed. A harmful content
 * explains most crashes; what else ran on the same servers is explained by it, unless it has enough crashes of
 * its own. Contents that explain the same crashes can't be told apart: only requests that hold all of them are
 * refused, so a request that holds some shows which it is. A whole request is refused also if a part explains its
 * crashes, since two harmful contents may run on the same servers; but not if another whole request does, which
 * may be the only harmful one. It is refused for longer only by crashes that no part explains.
 */

import type { ContentTally } from './contentTally';
import { computeHoldMs } from './computeHoldMs';
import type { ContentLimit } from './crashLimitOf';
import { hasCrashedTooOften } from './hasCrashedTooOften';
import { listOpenCrashes } from './listOpenCrashes';

/** Contents of which at least one is harmful; a request is refused if it holds all of them. */
export interface Culprits {
  readonly contents: readonly string[];
  /** Those of the contents that explain most crashes. */
  readonly mostCrashes: readonly string[];
  readonly lastCrashAtMs: number;
  /** Incarnations of the servers that have crashed. */
  readonly servers: readonly string[];
  /** Time until which such requests are refused; afterwards they run on trial, milliseconds. */
  readonly untilMs: number;
}

/** Crashes by which a content must lead another to be told apart: one may be due to something else. */
const CLEAR_LEAD = 2;

interface Candidate {
  readonly content: string;
  readonly servers: readonly string[];
  readonly limit: ContentLimit;
  readonly lastCrashAtMs: number;
}

/**
 * @param tallies crashes by content
 * @param limitOf the limit of a content
 * @param atMs the current time
 */
export function findCulprits(
  tallies: Iterable<readonly [string, ContentTally]>,
  limitOf: (content: string) => ContentLimit,
  atMs: number,
): readonly Culprits[] {
  const refused = rankRefused(
    [...tallies].map(([content, tally]): Candidate => {
      const { lastCrashAtMs } = tally;
      return { content, servers: listOpenCrashes(tally), limit: limitOf(content), lastCrashAtMs };
    }),
    atMs,
  );
  const found: Culprits[] = [];
  let candidates = refused;
  for (let [lead] = candidates; lead !== undefined; [lead] = candidates) {
    const { servers } = lead;
    const group = candidates.filter((other) => isAlike(servers, other.servers));
    found.push(toCulprits(group, servers));
    const explained = new Set(group.flatMap((member) => member.servers));
    const rest = candidates.map((other) => ({
      ...other,
      servers: other.servers.filter((server) => !explained.has(server)),
    }));
    candidates = rankRefused(rest, atMs);
  }
  const foundAlone = new Set(
    found.flatMap(({ contents }) => (contents.length > 1 ? [] : contents)),
  );
  const requests = refused.filter(({ limit }) => limit.isWholeRequest);
  const others = requests.filter(
    (request) =>
      !foundAlone.has(request.content) &&
      !requests.some((other) => other !== request && isAlike(request.servers, other.servers)),
  );
  const explainedServers = new Set(found.flatMap(({ servers }) => servers));
  return [...found, ...others.map((request) => toExplainedRequest(request, explainedServers))];
}

function toExplainedRequest(
  { content, servers, limit, lastCrashAtMs }: Candidate,
  explained: ReadonlySet<string>,
): Culprits {
  const ownCrashes = servers.filter((server) => !explained.has(server)).length;
  const holdMs = computeHoldMs(limit.maxCrashes + ownCrashes, limit);
  const contents = [content];
  const untilMs = lastCrashAtMs + holdMs;
  return { contents, mostCrashes: contents, servers, lastCrashAtMs, untilMs };
}

function toCulprits(group: readonly Candidate[], servers: readonly string[]): Culprits {
  return {
    contents: group.map(({ content }) => content),
    mostCrashes: group
      .filter((member) => member.servers.length === servers.length)
      .map(({ content }) => content),
    servers,
    lastCrashAtMs: Math.max(...group.map((member) => member.lastCrashAtMs)),
    untilMs: Math.max(
      ...group.map(
        (member) => member.lastCrashAtMs + computeHoldMs(member.servers.length, member.limit),
      ),
    ),
  };
}

/** Selects the contents that would be refused by themselves, those with most crashes first. */
function rankRefused(candidates: readonly Candidate[], atMs: number): readonly Candidate[] {
  return candidates
    .filter((candidate) => isRefused(candidate, atMs))
    .sort((one, other) => other.servers.length - one.servers.length);
}

function isRefused({ servers, limit, lastCrashAtMs }: Candidate, atMs: number): boolean {
  return hasCrashedTooOften({ servers, crashes: servers.length, lastCrashAtMs }, limit, atMs);
}

/** Whether a content explains about the crashes that the leading one does. */
function isAlike(leading: readonly string[], servers: readonly string[]): boolean {
  const common = servers.filter((server) => leading.includes(server));
  return leading.length - common.length < CLEAR_LEAD;
}
