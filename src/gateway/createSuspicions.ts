/** Keeps the backend servers that are suspected to have failed, and what was seen of them. */

import type { LogFields } from './job';

/**
 * Why a server is suspected: it did not answer, refused or reset a query, runs as another incarnation than
 * the listed one, or could not be connected to.
 */
export type SuspicionReason = 'silent' | 'refused' | 'restarted' | 'unreached';

/** Reasons that rest on a timeout of this process. */
export const TIMEOUT_REASONS: ReadonlySet<SuspicionReason> = new Set(['silent', 'unreached']);

/** A server that is suspected to have failed, until it answers or restarts. */
export interface ServerSuspicion {
  readonly id: string;
  readonly bornMs: number;
  readonly sinceMs: number;
  readonly reason: SuspicionReason;
}

export interface Suspicions {
  /**
   * A restart replaces an earlier reason, since only it proves that the incarnation has ended.
   *
   * @returns false if the server was suspected already
   */
  readonly raise: (
    server: SuspectedServer,
    reason: SuspicionReason,
    detail: string | undefined,
  ) => boolean;
  /**
   * @param message what the log says of it; by default that the server answers
   * @returns false if the server was not suspected
   */
  readonly lift: (id: string, message?: string) => boolean;
  readonly has: (id: string) => boolean;
  readonly list: () => readonly ServerSuspicion[];
  /** Drops the suspicions of incarnations that are not among the servers. */
  readonly retain: (servers: ReadonlyMap<string, Pick<SuspectedServer, 'bornMs'>>) => void;
}

interface SuspectedServer {
  readonly id: string;
  readonly address: string;
  /** Start of the incarnation, Unix milliseconds. */
  readonly bornMs: number;
}

export interface SuspicionsOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
}

/** Creates a record without suspected servers. */
export function createSuspicions({ now, log, count }: SuspicionsOptions): Suspicions {
  const suspected = new Map<string, ServerSuspicion>();
  return {
    raise: ({ id, address, bornMs }, reason, detail) => {
      const known = suspected.get(id);
      if (known !== undefined && (known.reason === reason || reason !== 'restarted')) return false;
      suspected.set(id, { id, bornMs, sinceMs: known?.sinceMs ?? now(), reason });
      count('suspicions', reason);
      log('server suspected', { server: id, address, reason, detail });
      return known === undefined;
    },
    lift: (id, message = 'server answers again') => {
      const suspicion = suspected.get(id);
      if (suspicion === undefined) return false;
      suspected.delete(id);
      const { reason, sinceMs } = suspicion;
      count('suspicions_lifted', reason);
      log(message, {
        server: id,
        reason,
        suspectedMs: Math.round(now() - sinceMs),
      });
      return true;
    },
    has: (id) => suspected.has(id),
    list: () => [...suspected.values()],
    retain: (servers) => {
      for (const [id, { bornMs, reason }] of suspected) {
        if (servers.get(id)?.bornMs === bornMs) continue;
        suspected.delete(id);
        log('suspected server gone or restarted', { server: id, reason });
      }
    },
  };
}
