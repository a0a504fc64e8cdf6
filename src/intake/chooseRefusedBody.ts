/**
 * Chooses the body to refuse when all bodies together need more memory than the VM has for them. The load: crowds that
 * send large bodies and stop short of their end, beside callers with small ones. Stalled bodies go first, then those
 * of the source that holds most, the largest first. A small body therefore finds room while any larger one is
 * incomplete, and no source can displace the bodies of a source that holds less.
 */

import type { OpenBody } from './openBody';

export interface BodyPressure {
  /** The body that needs memory; one of `bodies`. */
  readonly id: number;
  /** Memory that it needs in addition. */
  readonly bytes: number;
  /** All incomplete bodies. */
  readonly bodies: readonly OpenBody[];
  /** Monotonic, milliseconds. */
  readonly nowMs: number;
}

/** Longer than the pauses of callers that still send: several round trips, or a retransmission. */
export const STALLED_AFTER_MS = 1_000;

/** @returns id of the body to refuse, which may be the one that needs memory; undefined without bodies */
export function chooseRefusedBody(pressure: BodyPressure): number | undefined {
  const { id, bytes, nowMs } = pressure;
  const bodies = pressure.bodies.map((body) =>
    body.id === id ? { ...body, heldBytes: body.heldBytes + bytes, lastPieceMs: nowMs } : body,
  );
  const heldBySource = new Map<string, number>();
  for (const { source, heldBytes } of bodies)
    heldBySource.set(source, (heldBySource.get(source) ?? 0) + heldBytes);
  const rank = (body: OpenBody): readonly number[] => [
    nowMs - body.lastPieceMs >= STALLED_AFTER_MS ? 1 : 0,
    heldBySource.get(body.source) ?? 0,
    body.heldBytes,
    body.id,
  ];
  return bodies.map((body) => ({ id: body.id, rank: rank(body) })).sort(compareRanks)[0]?.id;
}

interface Ranked {
  readonly rank: readonly number[];
}

/** Orders by the first difference, larger values first. */
function compareRanks({ rank: one }: Ranked, { rank: other }: Ranked): number {
  const index = one.findIndex((value, position) => value !== other[position]);
  return index < 0 ? 0 : (other[index] ?? 0) - (one[index] ?? 0);
}
