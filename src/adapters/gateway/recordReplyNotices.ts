/** Records what a backend server announces in a reply beside its answer. */

import type { ReplyHead } from '../../gateway/backendProtocol';
import { computeQuietTime } from '../../gateway/computeQuietTime';
import { isReplyTo } from '../../gateway/isReplyTo';
import type { GatewayHost } from '../../gateway/job';

/** Longest text of a malformed quiet time that is logged, characters. */
const MAX_LOGGED_CHARS = 40;

export interface ReceivedReply {
  /** Id of the server that sent the reply. */
  readonly server: string;
  /** Id of the request that it was sent for. */
  readonly requestId: string;
  /** Time at which the request was sent, monotonic, milliseconds. */
  readonly sentMs: number;
  readonly head: ReplyHead;
}

/**
 * Keeps requests away from a server that wants none for a while; waiting requests try again afterwards.
 * Records the limit of requests that it states, or that it states none; bytes that are no answer state nothing, and
 * neither does the reply to another request.
 */
export function recordReplyNotices(
  { registry, random, log }: GatewayHost,
  { server, requestId, sentMs, head }: ReceivedReply,
): void {
  const { quietMs, malformedQuietTime, requestLimit: limit } = head;
  if (!isReplyTo(head, requestId)) {
    log('reply to another request', { id: requestId, server });
    return;
  }
  if (malformedQuietTime !== undefined) {
    log('quiet time not usable', { server, text: malformedQuietTime.slice(0, MAX_LOGGED_CHARS) });
  }
  if (head.isSealed || head.isNotRun)
    registry.recordLimit(server, { limit, sentMs, source: 'request' });
  if (quietMs === undefined || quietMs === 0) return;
  registry.recordQuiet(server, computeQuietTime(quietMs, random()));
}
