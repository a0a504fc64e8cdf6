/**
 * Tracks the list of backend servers across eras of the store. After the store came back from an older
 * copy, an entry may be missing, describe an earlier start, or belong to a server that has left since.
 */

import type { ListedServer } from '../chains/layerEngine';

export interface TrackedServer {
  readonly server: ListedServer;
  /** Era in which the entry was last seen, or found missing. */
  readonly era: number;
  /** Undefined while the server is listed. */
  readonly missing?: {
    readonly sinceMs: number;
    /** Time until which the server is used all the same. */
    readonly keptUntilMs: number;
  };
}

export type TrackedServers = ReadonlyMap<string, TrackedServer>;

export interface Listing {
  readonly listed: readonly ListedServer[];
  readonly era: number;
  readonly nowMs: number;
  /** Time for which a server is kept that is missing now, milliseconds. */
  readonly keepMs: number;
}

/** Time for which a server that has left is remembered; the store comes back at most some seconds older. */
const REMEMBER_MS = 30_000;

/** @returns the servers with the listing applied */
export function trackListing(tracked: TrackedServers, listing: Listing): TrackedServers {
  const { era, nowMs } = listing;
  const listed = new Map(listing.listed.map((server) => [server.id, server]));
  const next = new Map<string, TrackedServer>();
  for (const [id, before] of tracked) {
    const server = listed.get(id);
    if (server !== undefined && !isOutdated(before, server, listing)) continue;
    const missing = before.missing ?? { sinceMs: nowMs, keptUntilMs: nowMs + listing.keepMs };
    if (nowMs - missing.sinceMs >= REMEMBER_MS) continue;
    next.set(id, before.missing === undefined ? { server: before.server, era, missing } : before);
  }
  for (const [id, server] of listed) {
    if (!next.has(id)) next.set(id, { server: keepDraining(tracked.get(id), server), era });
  }
  return next;
}

/** Whether an entry is older than what is known of the server. */
function isOutdated(
  { server: known, era, missing }: TrackedServer,
  server: ListedServer,
  listing: Listing,
): boolean {
  const isLaterEra = listing.era > era;
  // An entry with an earlier start counts as missing, and stays so for the rest of its era.
  if (server.bornMs < known.bornMs) return isLaterEra || missing !== undefined;
  const hasLeft = missing !== undefined && missing.keptUntilMs <= listing.nowMs;
  return isLaterEra && hasLeft && server.bornMs === known.bornMs;
}

/** A server that drains does so until it starts again, though an older entry may say otherwise. */
function keepDraining(before: TrackedServer | undefined, server: ListedServer): ListedServer {
  const isDraining = before?.server.isDraining === true && before.server.bornMs === server.bornMs;
  return isDraining ? { ...server, isDraining } : server;
}
