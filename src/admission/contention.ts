/** Ranks of the streams that compete for the engines of a service. */
export interface Contention {
  /** Distinct priorities of its routes, most urgent first; at least two. */
  readonly priorities: readonly number[];
  /** Latency target of the most urgent routes, milliseconds. */
  readonly urgentTargetMs: number;
}
