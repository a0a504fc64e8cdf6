/** Splits a stream that arrives in pieces into complete events, and bounds what it may send. */

import { createByteBudget } from './createByteBudget';
import { createByteBuffer } from './createByteBuffer';
import { findEventEnd } from './findEventEnd';
import { splitEvents } from './splitEvents';
import type { StreamEvent } from './splitEvents';

export interface EventSplitter {
  /** Takes the next piece; `isOversized` ends the stream, as an event or the whole is over its bound. */
  readonly split: (piece: Buffer) => {
    readonly events: readonly StreamEvent[];
    readonly isOversized: boolean;
  };
  /** Whether an event has begun that is not complete yet. */
  readonly hasRest: () => boolean;
}

/** Largest event that is waited for; sound ones have up to tens of KiB. */
const MAX_EVENT_BYTES = 128 * 1024;

/** Largest stream of one server: a thousand of the largest sound events, or many more usual ones. */
const MAX_STREAM_BYTES = 32 * 1024 * 1024;

/** Bytes of an empty line that may have come before the rest of it. */
const MAX_CUT_BYTES = 2;

export function createEventSplitter(): EventSplitter {
  const budget = createByteBudget(MAX_STREAM_BYTES);
  let rest = createByteBuffer();
  const endsEvent = (piece: Buffer): boolean => {
    if (findEventEnd(piece) !== undefined) return true;
    const begin = piece.subarray(0, MAX_CUT_BYTES);
    if (!begin.includes('\n') || rest.length() === 0) return false;
    const cut = Buffer.concat([rest.bytes().subarray(-MAX_CUT_BYTES), begin]);
    return findEventEnd(cut) !== undefined;
  };
  const takeEvents = (piece: Buffer): readonly StreamEvent[] => {
    if (!endsEvent(piece)) {
      rest.append(piece);
      return [];
    }
    const split = splitEvents(rest.bytes(), piece);
    rest = createByteBuffer();
    if (split.rest.length > 0) rest.append(split.rest);
    return split.events;
  };
  return {
    split: (piece) => {
      const isWithinBudget = budget.trySpend(piece.length);
      const events = takeEvents(piece);
      return { events, isOversized: !isWithinBudget || rest.length() > MAX_EVENT_BYTES };
    },
    hasRest: () => rest.length() > 0,
  };
}
