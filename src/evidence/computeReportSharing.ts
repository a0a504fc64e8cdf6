/**
 * Decides for how long the streams of a VM share one report of an engine. Where silences are common, a report says
 * little that the last one did not, and the VMs that ask each engine early find out whether it fails.
 */

import { ANSWER_SHARED_MS } from '../gateway/createSharedQueries';

/** Longest sharing while silences are common; callers leave a silent stream after two seconds, milliseconds. */
const CROWDED_SHARED_MS = 1_500;

/**
 * @param isEarly whether this VM asks the engine as soon as a silence is unusual
 * @returns milliseconds
 */
export function computeReportSharing(isEarly: boolean): number {
  return isEarly ? ANSWER_SHARED_MS : CROWDED_SHARED_MS;
}
