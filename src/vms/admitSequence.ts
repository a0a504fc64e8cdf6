/** Refuses datagrams that were seen before. */

import { MAX_REPLAY_SENDERS, REPLAY_WINDOW } from './datagram';
import type { Envelope, ReplayWindow, ReplayWindows } from './datagram';

/**
 * Notes a sequence number, after the anti-replay window of IPsec (RFC 4303). Numbers may come out of
 * order within the window; each is admitted once. An older incarnation is refused altogether.
 *
 * @param windows what was seen of each sender
 * @param envelope sender, incarnation and sequence, already authenticated
 * @returns the windows with this number noted, or undefined where it is refused
 */
export function admitSequence(
  windows: ReplayWindows,
  envelope: Envelope,
): ReplayWindows | undefined {
  const window = moveOn(windows.get(envelope.sender), envelope);
  if (window === undefined) return undefined;
  const next = windows.remove(envelope.sender).set(envelope.sender, window);
  return next.size > MAX_REPLAY_SENDERS ? next.rest() : next;
}

function moveOn(before: ReplayWindow | undefined, envelope: Envelope): ReplayWindow | undefined {
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
