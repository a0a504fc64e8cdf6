/**
 * Splits the bytes of an event stream into complete events, so that a caller never receives part of one.
 * The bytes stay as the backend server wrote them; only the id is parsed.
 */

import { findEventEnd } from './findEventEnd';

export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no `id` line, as for a comment. */
  readonly id: string | undefined;
}

export interface SplitResult {
  readonly events: readonly StreamEvent[];
  /** Start of an event that is not complete yet. */
  readonly rest: Buffer;
}

const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/;

/**
 * @param pending the `rest` of the previous call
 * @param chunk the next bytes
 */
export function splitEvents(pending: Buffer, chunk: Buffer): SplitResult {
  const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
  const events: StreamEvent[] = [];
  let from = 0;
  for (;;) {
    const to = findEventEnd(bytes, from);
    if (to === undefined) return { events, rest: bytes.subarray(from) };
    const event = bytes.subarray(from, to);
    events.push({ bytes: event, id: ID_LINE.exec(event.toString('latin1'))?.[1] });
    from = to;
  }
}
