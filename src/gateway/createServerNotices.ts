/**
 * Keeps what backend servers have announced in their own replies: that they are leaving, and until when they
 * want no requests from this VM. An announced departure holds for the incarnation that announced it, also
 * while the list of servers still names it as ready or does not name it at all.
 */

import type { ListedServer } from '../chains/layerEngine';
import type { LogFields } from './job';

export interface ServerNotices {
  /** @returns false if the departure of this incarnation was known already */
  readonly recordLeaving: (server: Incarnation) => boolean;
  /** @returns the server, marked as draining if its incarnation announced its departure */
  readonly applyTo: (server: ListedServer) => ListedServer;
  /** Records that the server wants no requests for `forMs`; a later end replaces an earlier one. */
  readonly recordQuiet: (server: string, forMs: number) => void;
  /** Time for which the server still wants no requests, milliseconds; 0 if it takes them. */
  readonly quietMs: (server: string) => number;
}

type Incarnation = Pick<ListedServer, 'id' | 'bornMs'>;

export interface ServerNoticesOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
}

/** Time for which a departure is remembered; leaving servers exit long before. */
const LEAVING_KEPT_MS = 600_000;

/** Creates a record without notices. */
export function createServerNotices({ now, log, count }: ServerNoticesOptions): ServerNotices {
  const leaving = new Map<string, { readonly bornMs: number; readonly untilMs: number }>();
  const quietUntilMs = new Map<string, number>();
  const isLeaving = ({ id, bornMs }: Incarnation): boolean => leaving.get(id)?.bornMs === bornMs;
  return {
    recordLeaving: (server) => {
      if (isLeaving(server)) return false;
      for (const [id, { untilMs }] of leaving) if (now() >= untilMs) leaving.delete(id);
      leaving.set(server.id, { bornMs: server.bornMs, untilMs: now() + LEAVING_KEPT_MS });
      count('server_notices', 'leaving');
      log('server announces its departure', { server: server.id });
      return true;
    },
    applyTo: (server) => (isLeaving(server) ? { ...server, isDraining: true } : server),
    recordQuiet: (server, forMs) => {
      for (const [id, untilMs] of quietUntilMs) if (now() >= untilMs) quietUntilMs.delete(id);
      const untilMs = now() + forMs;
      if (untilMs <= (quietUntilMs.get(server) ?? 0)) return;
      quietUntilMs.set(server, untilMs);
      count('server_notices', 'quiet');
      log('server wants no requests', { server, forMs: Math.round(forMs) });
    },
    quietMs: (server) => Math.max(0, (quietUntilMs.get(server) ?? 0) - now()),
  };
}
