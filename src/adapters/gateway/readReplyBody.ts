/** Reads a complete reply, so that no part of it is delivered before it is known to be complete. */

import type { IncomingMessage } from 'node:http';
import { createByteBudget } from '../../gateway/createByteBudget';
import { createByteBuffer } from '../../gateway/createByteBuffer';
import type { ReplyMemory } from '../../replies/createReplyMemory';
import type { ConnectionTurns } from '../../intake/connectionTurns';

export type ReplyBody =
  | {
      readonly type: 'whole';
      readonly body: Buffer;
      /** Gives back the memory of the body, once the caller has it. */
      readonly release: () => void;
    }
  | { readonly type: 'broken'; readonly detail: string; readonly isOversized?: boolean };

/** What the replies of a VM share. */
export interface ReplyShares {
  readonly replyMemory: ReplyMemory;
  readonly replyTurns: ConnectionTurns;
}

/** Largest reply that is buffered; far larger than the answers of plain services. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;

/**
 * @param reply the reply, nothing of it read yet
 * @returns the body, or why it is not complete
 */
export function readReplyBody(
  reply: IncomingMessage,
  { replyMemory, replyTurns }: ReplyShares,
): Promise<ReplyBody> {
  return new Promise((resolve) => {
    const turn = replyTurns.open(reply);
    const budget = createByteBudget(MAX_REPLY_BYTES);
    const content = createByteBuffer();
    const endOversized = (detail: string): void => {
      hold.release();
      turn.close();
      resolve({ type: 'broken', detail, isOversized: true });
      reply.destroy();
    };
    const hold = replyMemory.open(() => {
      endOversized('no memory');
    });
    const fail = (detail: string): void => {
      if (!isWhole) hold.release();
      turn.close();
      resolve({ type: 'broken', detail });
    };
    let isWhole = false;
    reply.on('data', (chunk: Buffer) => {
      if (!budget.trySpend(chunk.length)) {
        endOversized('body too large');
        return;
      }
      hold.keep(content.length() + chunk.length);
      if (reply.destroyed) return;
      content.append(chunk);
      turn.spend(chunk.length);
    });
    reply.on('end', () => {
      if (!reply.complete) {
        fail('ended early');
        return;
      }
      isWhole = true;
      hold.complete();
      turn.end();
      resolve({ type: 'whole', body: content.bytes(), release: hold.release });
    });
    reply.on('error', (error) => {
      fail(error.message);
    });
    reply.on('close', () => {
      fail('closed');
    });
  });
}
