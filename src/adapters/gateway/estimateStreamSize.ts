/** Estimates how large a stream will be at its end. */

import type { Job } from '../../gateway/job';

export interface StreamSize {
  /** Tokens of the prompt and the answer together. */
  readonly tokens: number;
  readonly events: number;
}

/** Minimum tokens in an event; the estimated number of events is therefore rather too high. */
const TOKENS_PER_EVENT = 2;

export function estimateStreamSize({ head, profile }: Pick<Job, 'head' | 'profile'>): StreamSize {
  const meanAnswerTokens = profile.model?.meanAnswerTokens ?? 0;
  const answerTokens = Math.min(
    head.maxAnswerTokens,
    head.expectedAnswerTokens ?? meanAnswerTokens,
  );
  return { tokens: head.promptTokens + answerTokens, events: answerTokens / TOKENS_PER_EVENT };
}
