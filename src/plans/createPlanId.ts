/** Creates plan ids, which sort newest first. */

/** Radix of the time in an id. */
const RADIX = 36;

/** Digits of the time in an id. */
const TIME_DIGITS = 9;

/** Characters of the unique id that a plan id contains. */
const UNIQUE_LENGTH = 8;

/**
 * Creates an id from the wall clock and a unique id.
 *
 * @param wallMs wall clock, milliseconds
 * @param unique a fresh unique id
 */
export function createPlanId(wallMs: number, unique: string): string {
  const remainingMs = RADIX ** TIME_DIGITS - 1 - Math.floor(wallMs);
  const time = remainingMs.toString(RADIX).padStart(TIME_DIGITS, '0');
  return `p${time}-${unique.slice(0, UNIQUE_LENGTH)}`;
}
