/** Chooses what a refused call may promise to its caller, who repeats it at once if it has not run. */

/** How one try of a call on a backend server ended. */
export type CallEnd = 'answered' | 'not-run' | 'unreached' | 'unknown';

const MAY_HAVE_RUN: Readonly<Record<CallEnd, boolean>> = {
  answered: true,
  'not-run': false,
  unreached: false,
  unknown: true,
};

/**
 * @param ends the ends of all tries; a later proof says nothing of an earlier run
 * @returns `not-run` only if no try may have run the request
 */
export function chooseCallRefusal(ends: readonly CallEnd[]): 'not-run' | 'unknown-outcome' {
  return ends.some((end) => MAY_HAVE_RUN[end]) ? 'unknown-outcome' : 'not-run';
}
