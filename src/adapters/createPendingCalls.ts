/** Promises for the answers of calls in progress, by call id. */

import type { CallId } from '../decisions/primitive';

export interface PendingCalls<Answer> {
  /** Returns a promise for the call's answer. */
  readonly wait: (call: CallId) => Promise<Answer>;
  /** Resolves the call's promise, if it is still pending. */
  readonly resolve: (call: CallId, answer: Answer) => void;
  /** Removes a call whose answer is no longer needed. */
  readonly remove: (call: CallId) => void;
  readonly size: () => number;
}

export function createPendingCalls<Answer>(): PendingCalls<Answer> {
  const resolvers = new Map<CallId, (answer: Answer) => void>();
  return {
    wait: (call) =>
      new Promise((resolve) => {
        resolvers.set(call, resolve);
      }),
    resolve: (call, answer) => {
      const resolve = resolvers.get(call);
      resolvers.delete(call);
      resolve?.(answer);
    },
    remove: (call) => {
      resolvers.delete(call);
    },
    size: () => resolvers.size,
  };
}
