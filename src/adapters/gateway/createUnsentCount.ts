/**
 * Counts what responses keep for callers that read more slowly than servers send. A response that has to give up its
 * memory is cut, so that it does not look complete.
 */

import type { ServerResponse } from 'node:http';
import type { ReplyHold, ReplyMemory } from '../../replies/createReplyMemory';

/** Counts the bytes of a response that its caller has not taken; called after each write. */
export type UnsentCount = (response: ServerResponse) => void;

export function createUnsentCount(memory: ReplyMemory): UnsentCount {
  const holds = new WeakMap<ServerResponse, ReplyHold>();
  const open = (response: ServerResponse): ReplyHold => {
    const hold = memory.open(() => {
      response.destroy();
    });
    response.on('drain', () => {
      hold.keep(response.writableLength);
    });
    response.once('close', hold.release);
    holds.set(response, hold);
    return hold;
  };
  return (response) => {
    const { writableLength } = response;
    // Most callers take all at once, and need no count.
    const hold = holds.get(response) ?? (writableLength > 0 ? open(response) : undefined);
    hold?.keep(writableLength);
  };
}
