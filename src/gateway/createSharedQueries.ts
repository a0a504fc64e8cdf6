/** Queries backend servers so that requests which wait for the same server share one query. */

/** What a query is for, as metrics name it. */
export type QueryReason =
  'silent_stream' | 'refused_request' | 'lost_run' | 'unreported' | 'reported' | 'suspected';

export interface SharedQueries<Result> {
  /** Queries the server, or returns the result of a query that is recent enough to be shared. */
  readonly ask: (id: string, reason: QueryReason) => Promise<Result>;
  /** Start of the last query, monotonic, milliseconds; negative infinity if none is known. */
  readonly askedMs: (id: string) => number;
  /** Drops queries that are too old for any use. */
  readonly removeOld: () => void;
}

export interface SharedQueryOptions<Result> {
  readonly query: (id: string, reason: QueryReason) => Promise<Result>;
  /** Whether the server has answered. */
  readonly isAnswer: (result: Result) => boolean;
  /** Time for which an answer of a server is shared, milliseconds. */
  readonly answerSharedMs?: (id: string) => number;
  /** Time for which a query without a result is shared, milliseconds. */
  readonly openSharedMs?: number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Time for which all requests share one answer; when chains stall, all their streams query at once. */
export const ANSWER_SHARED_MS = 400;

/** Time for which all requests share a query without an answer. */
const UNANSWERED_SHARED_MS = 100;

/** Time for which a query is kept; longer than any interval between rechecks. */
const QUERY_KEPT_MS = 5_000;

interface SharedQuery<Result> {
  readonly atMs: number;
  /** Time for which further requests share this query, milliseconds. */
  readonly sharedMs: number;
  readonly result: Promise<Result>;
}

/** Creates a record without queries. */
export function createSharedQueries<Result>(
  options: SharedQueryOptions<Result>,
): SharedQueries<Result> {
  const { query, isAnswer, openSharedMs = UNANSWERED_SHARED_MS, now } = options;
  const { answerSharedMs = () => ANSWER_SHARED_MS } = options;
  const queries = new Map<string, SharedQuery<Result>>();
  return {
    ask: (id, reason) => {
      const known = queries.get(id);
      if (known !== undefined && now() - known.atMs < known.sharedMs) return known.result;
      const result = query(id, reason);
      const opened = { atMs: now(), sharedMs: openSharedMs, result };
      queries.set(id, opened);
      void result.then((value) => {
        if (isAnswer(value)) queries.set(id, { ...opened, sharedMs: answerSharedMs(id) });
        else if (queries.get(id) === opened)
          queries.set(id, { ...opened, sharedMs: UNANSWERED_SHARED_MS });
      });
      return result;
    },
    askedMs: (id) => queries.get(id)?.atMs ?? Number.NEGATIVE_INFINITY,
    removeOld: () => {
      for (const [id, { atMs }] of queries) if (now() - atMs > QUERY_KEPT_MS) queries.delete(id);
    },
  };
}
