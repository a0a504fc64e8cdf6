/**
 * Bounds how far a stream may fill the engines, by its priority. The load: streams of several priorities compete for
 * too little room, and each VM sees only its own callers, so a less urgent stream at one VM takes the room for which
 * an urgent one waits at the next. Here the last part of each engine's memory, and engines at which first events are
 * nearly late, are kept for more urgent streams. All VMs decide alike, by the loads that they know of each other; no
 * VM has to know what waits elsewhere. The room that is kept is small, and a fixed part of the less urgent streams
 * competes with the urgent ones, so that no priority starves however long the contention lasts.
 */

import { hash32 } from '../hashing/hash32';
import type { Contention } from './contention';

export interface AdmissionBounds {
  /** Share of an engine's memory and places that may be taken. */
  readonly maxShare: number;
  /** Maximum expected delay of the first event, milliseconds. */
  readonly maxFirstEventDelayMs: number;
}

export interface RankedStream {
  /** Id of the request. */
  readonly id: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Latency target of the first event, milliseconds. */
  readonly targetMs: number;
}

/** Memory that is kept for each more urgent rank: the streams of about a second. */
const SHARE_STEP = 0.07;

/** Latest expected first event, in targets; beyond it, a later retry is no slower. */
const TOP_DELAY_TARGETS = 1.5;
const DELAY_STEP = 0.35;
const MIN_DELAY_TARGETS = 0.4;

/** Part of the less urgent streams that compete as the most urgent do. */
const PROTECTED_PART = 0.4;

const HASH_RANGE = 2 ** 32;

export function computeAdmissionBounds(
  { id, priority, targetMs }: RankedStream,
  { priorities, urgentTargetMs }: Contention,
): AdmissionBounds {
  const rank = priorities.filter((more) => more < priority).length;
  const isProtected = hash32(id) < PROTECTED_PART * HASH_RANGE;
  if (rank === 0 || isProtected) {
    return {
      maxShare: 1,
      maxFirstEventDelayMs: targetMs * TOP_DELAY_TARGETS,
    };
  }
  const delayTargets = Math.max(MIN_DELAY_TARGETS, TOP_DELAY_TARGETS - rank * DELAY_STEP);
  return {
    maxShare: 1 - rank * SHARE_STEP,
    maxFirstEventDelayMs: Math.min(targetMs * TOP_DELAY_TARGETS, urgentTargetMs * delayTargets),
  };
}
