/**
 * The budget of work that may be done twice: a token bucket that every admitted request fills a
 * little, so that failures can't multiply the load.
 */

/** Requests' worth of work that may still be repeated. */
export interface RetryBudget {
  readonly credit: number;
}
