/** Leaves out an answer's body that is too large to be kept. */

import type { CallResult } from './operationMessage';

/** @returns the result itself, or a refusal that says that it ran and how it was answered */
export function shortenResult(result: CallResult, maxBytes: number): CallResult {
  if (result.type === 'refused') return result;
  const { answer } = result;
  if (Buffer.byteLength(answer.body) <= maxBytes) return result;
  const detail = `It ran and was answered with ${answer.status}; the body was too large to be kept`;
  const refusal = { outcome: 'unknown', reason: 'answer-not-kept', detail } as const;
  return { type: 'refused', refusal };
}
