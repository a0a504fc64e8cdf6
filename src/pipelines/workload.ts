/** Mean request sizes, on which the throughput of engines depends. */

export interface Workload {
  /** Mean prompt length, tokens. */
  readonly promptTokens: number;
  /** Mean answer length, tokens. */
  readonly answerTokens: number;
}
