/** The course of recent requests, for operators who ask what became of one; bounded. */

import { LRUCache } from 'lru-cache';
import type { RequestId } from '../requests/request';
import { MAX_JOURNAL_ENTRIES, MAX_JOURNALS } from './constants';

export interface JournalEntry {
  /** Wall clock, milliseconds. */
  readonly wallMs: number;
  readonly what: string;
}

export interface Journal {
  readonly add: (request: RequestId, what: string) => void;
  readonly read: (request: RequestId) => readonly JournalEntry[] | undefined;
}

/** Starts empty; the least recently touched requests go first, and later entries are left out. */
export function createJournal(): Journal {
  const journals = new LRUCache<RequestId, JournalEntry[]>({ max: MAX_JOURNALS });
  return {
    add: (request, what) => {
      const entries = journals.get(request) ?? [];
      if (entries.length < MAX_JOURNAL_ENTRIES) entries.push({ wallMs: Date.now(), what });
      journals.set(request, entries);
    },
    read: (request) => journals.get(request),
  };
}
