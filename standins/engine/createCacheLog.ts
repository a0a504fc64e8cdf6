/** The cache events of a stand-in engine: they come late, and some are lost. */

import type { CacheEvent } from '../../src/contracts/engineContract';
import { hashPrefixes, PREFIX_BLOCK_TOKENS } from '../../src/contracts/hashPrefixes';

export interface CacheLog {
  /** Notes the prefixes of a prompt that the engine has run. */
  readonly store: (prompt: readonly number[]) => void;
  /** Events after this sequence number that are old enough to be seen. */
  readonly after: (sequence: number) => readonly CacheEvent[];
}

export interface CacheLogOptions {
  readonly engine: string;
  /** How late events are seen, milliseconds. */
  readonly lagMs: number;
  /** Every so many-th event is lost; 0 loses none. */
  readonly loseEvery: number;
}

/** Events that are kept for readers. */
const MAX_EVENTS = 1024;
/** Prefixes that the cache holds; storing more evicts the oldest. */
const MAX_PREFIXES = 512;

interface TimedEvent {
  readonly event: CacheEvent;
  readonly atMs: number;
}

/**
 * Starts an empty log.
 *
 * @param options the engine, and how late and gappy its events are
 */
export function createCacheLog({ engine, lagMs, loseEvery }: CacheLogOptions): CacheLog {
  const held = new Map<string, number>();
  const events: TimedEvent[] = [];
  let sequence = 0;

  const write = (type: CacheEvent['type'], prefixHash: string, tokens: number): void => {
    sequence += 1;
    if (loseEvery > 0 && sequence % loseEvery === 0) return;
    events.push({ event: { engine, sequence, type, prefixHash, tokens }, atMs: Date.now() });
    if (events.length > MAX_EVENTS) events.shift();
  };

  const evictOldest = (): void => {
    const [oldest] = held;
    if (oldest === undefined || held.size <= MAX_PREFIXES) return;
    held.delete(oldest[0]);
    write('evicted', oldest[0], oldest[1]);
  };

  return {
    store: (prompt) => {
      for (const [block, hash] of hashPrefixes(prompt).entries()) {
        if (held.has(hash)) continue;
        const tokens = (block + 1) * PREFIX_BLOCK_TOKENS;
        held.set(hash, tokens);
        write('stored', hash, tokens);
        evictOldest();
      }
    },
    after: (from) =>
      events
        .filter(({ event, atMs }) => event.sequence > from && Date.now() - atMs >= lagMs)
        .map(({ event }) => event),
  };
}
