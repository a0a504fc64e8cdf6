/** KV cache of a stand-in engine: token counts by sequence, with LRU eviction. */

import { LRUCache } from 'lru-cache';
import type { LayerRange } from '../../src/engines/engine';

/** Most sequences in the cache. */
const MAX_SEQUENCES = 4096;

export interface KvEntry {
  readonly layers: LayerRange;
  readonly tokens: number;
}

export interface KvCache {
  readonly get: (request: string) => KvEntry | undefined;
  readonly set: (request: string, entry: KvEntry) => void;
  readonly clear: () => void;
  readonly tokens: () => number;
}

/** Creates an empty cache. */
export function createKvCache(): KvCache {
  const entries = new LRUCache<string, KvEntry>({ max: MAX_SEQUENCES });
  return {
    get: (request) => entries.get(request),
    set: (request, entry) => {
      entries.set(request, entry);
    },
    clear: () => {
      entries.clear();
    },
    tokens: () => [...entries.values()].reduce((sum, entry) => sum + entry.tokens, 0),
  };
}
