/** Records what a backend server announces in a reply beside its answer. */

import type { ReplyHead } from '../../gateway/backendProtocol';
import { computeQuietTime } from '../../gateway/computeQuietTime';
import type { GatewayHost } from '../../gateway/job';

/** Longest text of a malformed quiet time that is logged, characters. */
const MAX_LOGGED_CHARS = 40;

/**
 * Keeps requests away from a server that wants none for a while; waiting requests try again afterwards.
 *
 * @param server id of the server that sent the reply
 */
export function recordReplyNotices(
  { registry, random, log }: GatewayHost,
  server: string,
  { quietMs, malformedQuietTime }: ReplyHead,
): void {
  if (malformedQuietTime !== undefined) {
    log('quiet time not usable', { server, text: malformedQuietTime.slice(0, MAX_LOGGED_CHARS) });
  }
  if (quietMs === undefined || quietMs === 0) return;
  registry.recordQuiet(server, computeQuietTime(quietMs, random()));
}
