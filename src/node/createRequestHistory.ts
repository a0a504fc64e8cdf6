/** Keeps a bounded history of recent requests, for operators who look up the outcome of one. */

import { LRUCache } from 'lru-cache';
import type { RequestId } from '../requests/request';
import { MAX_HISTORY_ENTRIES, MAX_REQUEST_HISTORIES } from './constants';

export interface HistoryEntry {
  /** Wall clock, milliseconds. */
  readonly wallMs: number;
  readonly what: string;
}

export interface RequestHistory {
  readonly add: (request: RequestId, what: string) => void;
  readonly read: (request: RequestId) => readonly HistoryEntry[] | undefined;
}

/**
 * Creates an empty history. The least recently used requests are evicted first; entries beyond the
 * limit of a request are dropped.
 */
export function createRequestHistory(): RequestHistory {
  const entriesByRequest = new LRUCache<RequestId, HistoryEntry[]>({ max: MAX_REQUEST_HISTORIES });
  return {
    add: (request, what) => {
      const entries = entriesByRequest.get(request) ?? [];
      if (entries.length < MAX_HISTORY_ENTRIES) entries.push({ wallMs: Date.now(), what });
      entriesByRequest.set(request, entries);
    },
    read: (request) => entriesByRequest.get(request),
  };
}
