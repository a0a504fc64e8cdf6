/**
 * Keeps the limits that backend servers announce: the requests a second that a server takes from all VMs
 * together, for as long as its replies say so. VMs tell each other what they have seen last, and each sends
 * its share. All that a VM sends to a server counts: requests, queries for reports, and orders.
 */

import type { ListedServer } from '../chains/layerEngine';
import type { RequestLimit } from './backendProtocol';
import { computeLimitShare } from './computeLimitShare';
import type { LogFields } from './job';
import type { RequestAllowance } from './refillAllowance';
import { refillAllowance } from './refillAllowance';

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

/** What a VM has seen last of a server's limit, as it tells the others. */
export interface LimitReport extends Incarnation {
  /** Undefined if the limit has ended. */
  readonly perSecond: number | undefined;
  /** Time since it was seen, milliseconds. */
  readonly ageMs: number;
}

/** A request can wait for its part of the limit; a query or a repair is wanted sooner. */
export type LimitedSend = 'request' | 'control';

export interface RequestLimits {
  /** Records a statement. Only a reply to a request that was sent after the limit was last seen lifts it. */
  readonly record: (statement: LimitStatement) => void;
  /** Joins what another VM has seen; the newest counts. */
  readonly merge: (reports: readonly LimitReport[]) => void;
  readonly reports: () => readonly LimitReport[];
  /** Called when a limit begins, changes or ends. */
  readonly onNews: (listener: () => void) => void;
  /**
   * Time until this VM may send, milliseconds; 0 if the server has no limit, Infinity if this VM has no share
   * of it.
   */
  readonly waitMs: (server: Incarnation, send: LimitedSend) => number;
  /** Counts what is sent, also where it could not wait. */
  readonly spend: (server: Incarnation) => void;
  /** Takes back what was counted and not sent. */
  readonly refund: (server: Incarnation) => void;
}

export interface RequestLimitsOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
  /** Name of this VM. */
  readonly vm?: string;
  /** All VMs that may send, this one included; undefined while they are unknown, so that nothing is sent. */
  readonly vms?: () => readonly string[] | undefined;
  /** Uniform in [0, 1). */
  readonly random?: () => number;
}

interface KnownLimit {
  readonly bornMs: number;
  /** Undefined if the limit has ended. */
  readonly perSecond: number | undefined;
  /** Time at which that was seen, monotonic, milliseconds. */
  readonly seenMs: number;
}

interface KnownShare {
  readonly members: readonly string[];
  readonly perSecond: number;
  /** Requests a second. */
  readonly share: number;
}

/** Requests that must be allowed before one is sent; control traffic is sent somewhat in advance. */
const NEEDED_REQUESTS: Readonly<Record<LimitedSend, number>> = { request: 1, control: 0.5 };

/** Time for which the end of a limit is told to the other VMs, milliseconds. */
const ENDED_KEPT_MS = 10_000;

/** Age at which a limit that no reply of the server repeats is forgotten, milliseconds. */
const MAX_AGE_MS = 60_000;

/** Longest malformed text that is logged, characters. */
const MAX_LOGGED_CHARS = 40;

const MS_PER_SECOND = 1_000;

/** Creates a record without limits. */
export function createRequestLimits(options: RequestLimitsOptions): RequestLimits {
  const { now, log, count, vm = '', random = () => 0 } = options;
  const alone = [vm];
  const { vms = () => alone } = options;
  const limits = new Map<string, KnownLimit>();
  const allowances = new Map<string, RequestAllowance>();
  /** Results of the last computation; each search for a chain asks for those of all engines. */
  const shares = new Map<string, KnownShare>();
  const listeners: (() => void)[] = [];

  const limitOf = ({ id, bornMs }: Incarnation): number | undefined => {
    const known = limits.get(id);
    return known?.bornMs === bornMs ? known.perSecond : undefined;
  };
  const shareOf = (id: string, perSecond: number): number => {
    const members = vms();
    if (members === undefined) return 0;
    const known = shares.get(id);
    if (known?.members === members && known.perSecond === perSecond) return known.share;
    const share = computeLimitShare({ server: id, perSecond, vm, vms: members });
    shares.set(id, { members, perSecond, share });
    return share;
  };
  const allowanceOf = (id: string, perSecond: number): RequestAllowance => {
    const share = shareOf(id, perSecond);
    // Begins below one request, so that a restart gains nothing, and at random, so that VMs take turns.
    const known = allowances.get(id) ?? { requests: -random(), perSecond: share, atMs: now() };
    const allowance = refillAllowance(known, share, now());
    allowances.set(id, allowance);
    return allowance;
  };
  const removeOld = (): void => {
    for (const [id, { perSecond, seenMs }] of limits) {
      if (now() - seenMs < (perSecond === undefined ? ENDED_KEPT_MS : MAX_AGE_MS)) continue;
      limits.delete(id);
      allowances.delete(id);
      shares.delete(id);
      if (perSecond !== undefined) log('limit forgotten', { server: id, perSecond });
    }
  };
  /** Replaces what is known of a limit; logs and announces a change. */
  const replace = (id: string, next: KnownLimit, source: string): void => {
    const known = limits.get(id);
    const before = known?.bornMs === next.bornMs ? known.perSecond : undefined;
    if (known?.bornMs !== next.bornMs || next.perSecond === undefined) allowances.delete(id);
    limits.set(id, next);
    const { perSecond } = next;
    if (before === perSecond) return;
    if (perSecond === undefined) log('limit lifted', { server: id, perSecond: before, source });
    else {
      const { perSecond: share } = allowanceOf(id, perSecond);
      count('server_notices', 'limit');
      log('server announces a limit', { server: id, perSecond, share, source });
    }
    for (const listener of listeners) listener();
  };
  const spend = ({ id, bornMs }: Incarnation, requests: number): void => {
    const perSecond = limitOf({ id, bornMs });
    if (perSecond === undefined) return;
    const allowance = allowanceOf(id, perSecond);
    allowances.set(id, { ...allowance, requests: allowance.requests - requests });
  };
  return {
    record: ({ server: { id, bornMs }, limit, sentMs, source }) => {
      removeOld();
      const known = limits.get(id);
      if (limit.type === 'malformed') {
        log('limit not usable', { server: id, text: limit.text.slice(0, MAX_LOGGED_CHARS) });
        return;
      }
      if (limit.type === 'limit') {
        replace(id, { bornMs, perSecond: limit.perSecond, seenMs: now() }, source);
        return;
      }
      const isLimited = limitOf({ id, bornMs }) !== undefined;
      if (!isLimited || sentMs <= (known?.seenMs ?? 0)) return;
      replace(id, { bornMs, perSecond: undefined, seenMs: sentMs }, source);
    },
    merge: (reports) => {
      removeOld();
      for (const { id, bornMs, perSecond, ageMs } of reports) {
        const known = limits.get(id);
        const seenMs = now() - ageMs;
        if (ageMs >= MAX_AGE_MS || bornMs < (known?.bornMs ?? 0)) continue;
        if (known?.bornMs === bornMs && seenMs <= known.seenMs) continue;
        if (known === undefined && perSecond === undefined) continue;
        replace(id, { bornMs, perSecond, seenMs }, 'peer');
      }
    },
    reports: () => {
      removeOld();
      return [...limits].map(([id, { bornMs, perSecond, seenMs }]) => ({
        id,
        bornMs,
        perSecond,
        ageMs: now() - seenMs,
      }));
    },
    onNews: (listener) => {
      listeners.push(listener);
    },
    waitMs: (server, send) => {
      const perSecond = limitOf(server);
      if (perSecond === undefined) return 0;
      const allowance = allowanceOf(server.id, perSecond);
      const missing = NEEDED_REQUESTS[send] - allowance.requests;
      if (missing <= 0) return 0;
      return allowance.perSecond === 0 ? Infinity : (missing / allowance.perSecond) * MS_PER_SECOND;
    },
    spend: (server) => {
      spend(server, 1);
    },
    refund: (server) => {
      spend(server, -1);
    },
  };
}
