/**
 * Keeps the limits that backend servers announce: the requests a second that a server takes from all VMs
 * together, for as long as its replies say so.
 */

import type { ListedServer } from '../chains/layerEngine';
import type { RequestLimit } from './backendProtocol';
import type { LogFields } from './job';

type Incarnation = Pick<ListedServer, 'id' | 'bornMs'>;

/** What a reply of a server states about its limit. */
export interface LimitStatement {
  readonly server: Incarnation;
  readonly limit: RequestLimit;
  /** Time at which the request was sent, monotonic, milliseconds. */
  readonly sentMs: number;
  /** What was answered, for the log. */
  readonly source: 'request' | 'report';
}

export interface RequestLimits {
  /** Records a statement. Only a reply to a request that was sent after the limit was last seen lifts it. */
  readonly record: (statement: LimitStatement) => void;
}

export interface RequestLimitsOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
}

interface KnownLimit {
  readonly bornMs: number;
  readonly perSecond: number;
  /** Time at which the limit was last seen, monotonic, milliseconds. */
  readonly seenMs: number;
}

/** Longest malformed text that is logged, characters. */
const MAX_LOGGED_CHARS = 40;

/** Creates a record without limits. */
export function createRequestLimits({ now, log, count }: RequestLimitsOptions): RequestLimits {
  const limits = new Map<string, KnownLimit>();
  return {
    record: ({ server: { id, bornMs }, limit, sentMs, source }) => {
      const known = limits.get(id);
      if (limit.type === 'malformed') {
        log('limit not usable', { server: id, text: limit.text.slice(0, MAX_LOGGED_CHARS) });
        return;
      }
      if (limit.type === 'none') {
        if (known?.bornMs !== bornMs || sentMs <= known.seenMs) return;
        limits.delete(id);
        log('limit lifted', { server: id, perSecond: known.perSecond, source });
        return;
      }
      const { perSecond } = limit;
      limits.set(id, { bornMs, perSecond, seenMs: now() });
      if (known?.bornMs === bornMs && known.perSecond === perSecond) return;
      count('server_notices', 'limit');
      log('server announces a limit', { server: id, perSecond, source });
    },
  };
}
