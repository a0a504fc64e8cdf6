/** Rejects replayed datagrams. */

import { MAX_REPLAY_SENDERS, REPLAY_WINDOW } from './datagram';
import type { Envelope, ReplayWindow, ReplayWindows } from './datagram';

/**
 * Records a sequence number in an anti-replay window like that of IPsec (RFC 4303). Numbers may arrive
 * out of order within the window; each is admitted once. An older incarnation is always rejected.
 *
 * @param windows replay window of each sender
 * @param envelope sender, incarnation and sequence, already authenticated
 * @returns the windows including this number, or undefined if it is rejected
 */
export function admitSequence(
  windows: ReplayWindows,
  envelope: Envelope,
): ReplayWindows | undefined {
  const window = advanceWindow(windows.get(envelope.sender), envelope);
  if (window === undefined) return undefined;
  const next = windows.remove(envelope.sender).set(envelope.sender, window);
  return next.size > MAX_REPLAY_SENDERS ? next.rest() : next;
}

function advanceWindow(
  before: ReplayWindow | undefined,
  envelope: Envelope,
): ReplayWindow | undefined {
  const { incarnation, sequence } = envelope;
  if (before === undefined || incarnation > before.incarnation) {
    return { incarnation, highest: sequence, seen: 1n };
  }
  if (incarnation < before.incarnation) return undefined;
  const ahead = sequence - before.highest;
  if (ahead > 0) {
    const moved = ahead >= REPLAY_WINDOW ? 0n : before.seen << BigInt(ahead);
    const seen = BigInt.asUintN(REPLAY_WINDOW, moved) | 1n;
    return { incarnation, highest: sequence, seen };
  }
  if (-ahead >= REPLAY_WINDOW) return undefined;
  const bit = 1n << BigInt(-ahead);
  if ((before.seen & bit) !== 0n) return undefined;
  return { ...before, seen: before.seen | bit };
}
