/** Cache events of a stand-in engine. Readers see them after a lag, and some are lost. */

import type { CacheEvent } from '../../src/contracts/engineContract';
import { hashPrefixes, PREFIX_BLOCK_TOKENS } from '../../src/contracts/hashPrefixes';

export interface CacheLog {
  /** Records the prefixes of a prompt that the engine has run. */
  readonly store: (prompt: readonly number[]) => void;
  /** Returns the events after a sequence number that are at least as old as the lag. */
  readonly after: (sequence: number) => readonly CacheEvent[];
}

export interface CacheLogOptions {
  readonly engine: string;
  /** Delay before readers see an event, milliseconds. */
  readonly lagMs: number;
  /** Loses every n-th event; 0 loses none. */
  readonly loseEvery: number;
}

/** Most events kept for readers. */
const MAX_EVENTS = 1024;
/** Most prefixes in the cache; adding another evicts the oldest. */
const MAX_PREFIXES = 512;

interface TimedEvent {
  readonly event: CacheEvent;
  readonly atMs: number;
}

/**
 * Creates an empty log.
 *
 * @param options the engine, and the lag and loss of its events
 */
export function createCacheLog({ engine, lagMs, loseEvery }: CacheLogOptions): CacheLog {
  const prefixes = new Map<string, number>();
  const events: TimedEvent[] = [];
  let sequence = 0;

  const append = (type: CacheEvent['type'], prefixHash: string, tokens: number): void => {
    sequence += 1;
    if (loseEvery > 0 && sequence % loseEvery === 0) return;
    events.push({ event: { engine, sequence, type, prefixHash, tokens }, atMs: Date.now() });
    if (events.length > MAX_EVENTS) events.shift();
  };

  const evictOldest = (): void => {
    const [oldest] = prefixes;
    if (oldest === undefined || prefixes.size <= MAX_PREFIXES) return;
    prefixes.delete(oldest[0]);
    append('evicted', oldest[0], oldest[1]);
  };

  return {
    store: (prompt) => {
      for (const [block, hash] of hashPrefixes(prompt).entries()) {
        if (prefixes.has(hash)) continue;
        const tokens = (block + 1) * PREFIX_BLOCK_TOKENS;
        prefixes.set(hash, tokens);
        append('stored', hash, tokens);
        evictOldest();
      }
    },
    after: (from) =>
      events
        .filter(({ event, atMs }) => event.sequence > from && Date.now() - atMs >= lagMs)
        .map(({ event }) => event),
  };
}
