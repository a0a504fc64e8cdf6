/**
 * Budget for repeated work: a token bucket that every admitted request fills a little. It keeps
 * retries after failures from multiplying the load.
 */

export interface RetryBudget {
  /** Work that may still be repeated, in requests' worth. */
  readonly credit: number;
}
