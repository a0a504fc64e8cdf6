/** Reads a complete reply, so that no part of it is delivered before it is known to be complete. */

import type { IncomingMessage } from 'node:http';
import { createByteBudget } from '../../gateway/createByteBudget';
import { createByteBuffer } from '../../gateway/createByteBuffer';

export type ReplyBody =
  | { readonly type: 'whole'; readonly body: Buffer }
  | { readonly type: 'broken'; readonly detail: string; readonly isOversized?: boolean };

/** Largest reply that is buffered; far larger than the answers of plain services. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;

/**
 * @param reply the reply, nothing of it read yet
 * @returns the body, or why it is not complete
 */
export function readReplyBody(reply: IncomingMessage): Promise<ReplyBody> {
  return new Promise((resolve) => {
    const budget = createByteBudget(MAX_REPLY_BYTES);
    const content = createByteBuffer();
    const fail = (detail: string): void => {
      resolve({ type: 'broken', detail });
    };
    reply.on('data', (chunk: Buffer) => {
      if (budget.trySpend(chunk.length)) {
        content.append(chunk);
        return;
      }
      resolve({ type: 'broken', detail: 'body too large', isOversized: true });
      reply.destroy();
    });
    reply.on('end', () => {
      if (reply.complete) resolve({ type: 'whole', body: content.bytes() });
      else fail('ended early');
    });
    reply.on('error', (error) => {
      fail(error.message);
    });
    reply.on('close', () => {
      fail('closed');
    });
  });
}
