/** Those who wait for the answer to a call, by the call's id. */

import type { CallId } from '../decisions/primitive';

export interface PendingCalls<Answer> {
  /** Waits for the answer of this call. */
  readonly wait: (call: CallId) => Promise<Answer>;
  /** Hands an answer to who waits for it, if anyone still does. */
  readonly settle: (call: CallId, answer: Answer) => void;
  readonly forget: (call: CallId) => void;
  readonly size: () => number;
}

/** Starts with nobody waiting. */
export function createPendingCalls<Answer>(): PendingCalls<Answer> {
  const waiting = new Map<CallId, (answer: Answer) => void>();
  return {
    wait: (call) =>
      new Promise((resolve) => {
        waiting.set(call, resolve);
      }),
    settle: (call, answer) => {
      const resolve = waiting.get(call);
      waiting.delete(call);
      resolve?.(answer);
    },
    forget: (call) => {
      waiting.delete(call);
    },
    size: () => waiting.size,
  };
}
