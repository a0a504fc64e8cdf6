/**
 * Computes the cost of a hop between failure domains. The activations of a whole prompt pass the link
 * one transfer after another, so the link saturates long before the engines do if paths change domain
 * freely. The cost rises steeply with the link's utilization and keeps paths within a domain unless
 * nothing else has capacity.
 */

import type { PipelineModel } from './pipelineModel';

/** Cost of a hop over an idle link, as a multiple of its transfer time. */
const IDLE_FACTOR = 3;

/** Factor added at full utilization; it grows with the fourth power of the utilization. */
const FULL_FACTOR = 200;

/** Utilization from which no new request may use the link, since all streams behind it would wait longer. */
const SATURATED_SHARE = 0.95;

/**
 * @param model the model
 * @param usedShare share of the link's bandwidth in use; above 1 if more is sent than fits
 * @param isRunning the request already runs and would fail if it could not use the link
 * @returns milliseconds per decoding step; infinite for a new request if the link is saturated
 */
export function computeCrossDomainCost(
  model: PipelineModel,
  usedShare: number,
  isRunning = false,
): number {
  if (usedShare >= SATURATED_SHARE && !isRunning) return Number.POSITIVE_INFINITY;
  const promptBytes = model.activationBytes * model.meanPromptTokens;
  const promptMs = promptBytes / model.domainBytesPerMs;
  const perStepMs = model.domainDelayMs + promptMs / Math.max(1, model.meanAnswerTokens);
  return perStepMs * (IDLE_FACTOR + FULL_FACTOR * usedShare ** 4);
}
