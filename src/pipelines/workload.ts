/** The shape of a service's requests, as far as the throughput of engines depends on it. */

export interface Workload {
  /** Mean prompt, tokens. */
  readonly promptTokens: number;
  /** Mean answer, tokens. */
  readonly answerTokens: number;
}
