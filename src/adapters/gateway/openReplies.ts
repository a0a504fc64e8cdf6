/** Opens what the replies of a VM share. */

import type { GatewayHost } from '../../gateway/job';
import type { ReplyMemory } from '../../replies/createReplyMemory';
import { createConnectionTurns } from '../intake/createConnectionTurns';
import { createUnsentCount } from './createUnsentCount';

export type Replies = Pick<GatewayHost, 'replyMemory' | 'replyTurns' | 'countUnsent'>;

export interface ReplyOptions {
  readonly replyMemory: ReplyMemory;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

export function openReplies({ replyMemory, now }: ReplyOptions): Replies {
  return {
    replyMemory,
    replyTurns: createConnectionTurns({ now }),
    countUnsent: createUnsentCount(replyMemory),
  };
}
