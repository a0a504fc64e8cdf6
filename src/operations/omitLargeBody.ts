/** Omits an answer body that is too large to be kept. */

import type { CallResult } from './operationMessage';

/** @returns the result, or a refusal with the status of the answer if its body is too large */
export function omitLargeBody(result: CallResult, maxBytes: number): CallResult {
  if (result.type === 'refused') return result;
  const { answer } = result;
  if (Buffer.byteLength(answer.body) <= maxBytes) return result;
  const detail = `It ran and was answered with ${answer.status}; the body was too large to be kept`;
  const refusal = { outcome: 'unknown', reason: 'answer-not-kept', detail } as const;
  return { type: 'refused', refusal };
}
