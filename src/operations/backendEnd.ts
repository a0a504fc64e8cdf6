/**
 * What the end of a call to a backend server proves: `not-run` that nothing ran there, `error` that
 * it answered with a 5xx, `unknown` that it may have run.
 */

import type { CallFailure, PlainAnswer } from './operationMessage';

export type BackendEnd =
  | { readonly type: 'answered'; readonly answer: PlainAnswer }
  | { readonly type: 'error'; readonly answer: PlainAnswer; readonly detail: string }
  | { readonly type: 'not-run'; readonly reason: string; readonly detail: string }
  | { readonly type: 'unknown'; readonly reason: CallFailure; readonly detail: string };
