/**
 * Prices the link between failure domains. The activations of a whole prompt cross it one transfer
 * after another, so it fills long before engines do when paths change domain freely; the price rises
 * steeply with its use and keeps paths within a domain unless nothing else has room.
 */

import type { PipelineModel } from './pipelineModel';

/** Cost of a crossing over an idle link against its plain time. */
const IDLE_FACTOR = 3;

/** Added factor at full use; grows with the fourth power of the use. */
const FULL_FACTOR = 200;

/** Use from which no request may begin to cross: every stream behind the link would wait longer. */
const SATURATED_SHARE = 0.95;

/**
 * @param model the model
 * @param usedShare part of the link's bandwidth in use, 0 to 1 and more
 * @param isRunning the request runs already, and is lost if it may not cross
 * @returns milliseconds of a decoding step; infinite where the link is saturated
 */
export function crossingCost(model: PipelineModel, usedShare: number, isRunning = false): number {
  if (usedShare >= SATURATED_SHARE && !isRunning) return Number.POSITIVE_INFINITY;
  const promptBytes = model.activationBytes * model.usualPromptTokens;
  const promptMs = promptBytes / model.domainBytesPerMs;
  const perStepMs = model.domainDelayMs + promptMs / Math.max(1, model.usualAnswerTokens);
  return perStepMs * (IDLE_FACTOR + FULL_FACTOR * usedShare ** 4);
}
