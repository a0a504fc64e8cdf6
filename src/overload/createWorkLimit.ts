/**
 * Decides how many requests a VM serves at the same time where its processor can't bear all that it is asked. The load:
 * several times the callers that a VM can serve, or all callers of a fleet at once after a joint start. What is open then
 * takes the processor, new requests wait for it longer and longer, and each is served for a caller that has left. The
 * limit follows the wait of new requests: it falls while they wait too long, and rises while they do not and some are
 * refused. It rises fast while the processor is idle for a part of the time: what made requests wait was other work, or
 * has ended. Once none has been refused for a while there is none. For a while after its first request, a VM sets a limit
 * as soon as one measurement shows a wait. Connections share the limit: one that sends its requests without a look at the
 * answers takes no place from those that have less than their share. The decision asks for no size of the VM, which may
 * change at any time.
 */

import type { LogFields } from '../gateway/job';

export interface WorkLimit {
  /** Whether a request that has arrived on a connection may be served; counts the decision. */
  readonly admit: (connection: object) => boolean;
  /**
   * Records that work on a request begins; one whose body is not complete is none yet.
   *
   * @returns records that it has ended; to be called once
   */
  readonly begin: (connection: object) => () => void;
  /** Decides anew; called often. */
  readonly measure: (measurement: WorkMeasurement) => void;
  /** Requests that may be open; undefined where there is no limit. */
  readonly limit: () => number | undefined;
  /** Time after which a refused caller may come back, milliseconds. */
  readonly retryAfterMs: () => number;
}

export interface WorkMeasurement {
  /** Time that new requests wait, milliseconds. */
  readonly waitMs: number;
  /** Share of the time since the last measurement in which the process had work. */
  readonly utilization: number;
}

export interface WorkLimitOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

/** Wait from which calls and events miss the tightest targets in use, 120 to 150 ms. */
const MAX_WAIT_MS = 100;

/** Measurements in a row that must show the wait: a collection of garbage or a large catalog takes one. */
const LASTING_MEASUREMENTS = 3;

/** Time from the first request in which one measurement is enough, milliseconds: all callers may come at once. */
const STARTING_MS = 3_000;

/** Share of the open requests that the limit leaves, and the time until a change shows in the wait, milliseconds. */
const CUT_SHARE = 0.8;
const CUT_INTERVAL_MS = 400;

/** Growth of the limit in a measurement in which requests were refused: a share of it, and requests. */
const GROWTH_SHARE = 0.02;
const GROWTH = 0.25;

/** The same in a measurement with idle time. */
const IDLE_GROWTH_SHARE = 0.5;

/** Share of the time with work below which the processor is no reason to refuse a request. */
const IDLE_UTILIZATION = 0.75;

/** Fewest requests that are served at the same time; what makes a VM late may be other work, as at its start. */
const MIN_LIMIT = 4;

/** Time without a refusal after which there is no limit, milliseconds. */
const LIFTED_AFTER_MS = 3_000;

/** Bounds of the time after which callers come back, milliseconds; within the patience of interactive ones. */
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 4_000;

/** Time over which refused and admitted requests are compared, milliseconds. */
const WINDOW_MS = 1_000;

export function createWorkLimit({ now, random, log, count }: WorkLimitOptions): WorkLimit {
  let open = 0;
  /** Open requests by connection. */
  const openBy = new Map<object, number>();
  let limit: number | undefined;
  /** Time of the first request, monotonic, milliseconds. */
  let firstMs: number | undefined;
  let lateMeasurements = 0;
  let cutMs = Number.NEGATIVE_INFINITY;
  let refusedMs = now();
  let hasRefused = false;
  let windowBeganMs = now();
  let window = { admitted: 0, refused: 0 };
  let lastWindow = window;

  /** Whether a connection would have no more than its share of the limit with one request more. */
  const isWithinShare = (connection: object): boolean => {
    const own = openBy.get(connection) ?? 0;
    const connections = openBy.size + (own === 0 ? 1 : 0);
    return (own + 1) * connections <= (limit ?? Infinity);
  };
  const changeWindow = (): void => {
    if (now() - windowBeganMs < WINDOW_MS) return;
    windowBeganMs = now();
    lastWindow = window;
    window = { admitted: 0, refused: 0 };
  };
  /** Late measurements in a row that set a limit. What makes a VM late before its first request is its start. */
  const countNeeded = (): number => {
    if (firstMs === undefined) return Infinity;
    return now() - firstMs < STARTING_MS ? 1 : LASTING_MEASUREMENTS;
  };
  const cut = (waitMs: number): void => {
    if (now() - cutMs < CUT_INTERVAL_MS) return;
    cutMs = now();
    const wasLimited = limit !== undefined;
    limit = Math.max(MIN_LIMIT, CUT_SHARE * Math.min(limit ?? Infinity, open));
    if (wasLimited) return;
    refusedMs = now();
    count('work_limits', 'begun');
    log('work limited', { limit: Math.round(limit), open, waitMs: Math.round(waitMs) });
  };
  const raise = (current: number, utilization: number): void => {
    const isIdle = utilization < IDLE_UTILIZATION;
    const share = isIdle ? IDLE_GROWTH_SHARE : GROWTH_SHARE;
    if (hasRefused || isIdle) limit = current * (1 + share) + GROWTH;
    if (now() - refusedMs < LIFTED_AFTER_MS) return;
    limit = undefined;
    count('work_limits', 'ended');
    log('work not limited', { open });
  };
  return {
    admit: (connection) => {
      changeWindow();
      firstMs ??= now();
      const isFull = limit !== undefined && open >= Math.ceil(limit);
      if (isFull && !isWithinShare(connection)) {
        hasRefused = true;
        refusedMs = now();
        window = { ...window, refused: window.refused + 1 };
        return false;
      }
      window = { ...window, admitted: window.admitted + 1 };
      return true;
    },
    begin: (connection) => {
      open += 1;
      openBy.set(connection, (openBy.get(connection) ?? 0) + 1);
      return () => {
        open -= 1;
        const left = (openBy.get(connection) ?? 0) - 1;
        if (left > 0) openBy.set(connection, left);
        else openBy.delete(connection);
      };
    },
    measure: ({ waitMs, utilization }) => {
      changeWindow();
      lateMeasurements = waitMs >= MAX_WAIT_MS ? lateMeasurements + 1 : 0;
      if (lateMeasurements >= countNeeded()) cut(waitMs);
      else if (lateMeasurements === 0 && limit !== undefined) raise(limit, utilization);
      hasRefused = false;
    },
    limit: () => limit,
    retryAfterMs: () => {
      const admitted = lastWindow.admitted + window.admitted;
      const refused = lastWindow.refused + window.refused;
      const clearedInMs = (WINDOW_MS * refused) / Math.max(1, admitted);
      const meanMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, clearedInMs));
      // Callers that are refused together come back at different times.
      return Math.round(meanMs * (0.5 + random()));
    },
  };
}
