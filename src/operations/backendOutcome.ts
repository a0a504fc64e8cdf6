/**
 * Outcome of one call to a backend server: `not-run` if nothing ran there, `error` if the server
 * answered with a 5xx status, `unknown` if the call may have run.
 */

import type { CallFailure, PlainAnswer } from './operationMessage';

export type BackendOutcome =
  | { readonly type: 'answered'; readonly answer: PlainAnswer }
  | { readonly type: 'error'; readonly answer: PlainAnswer; readonly detail: string }
  | { readonly type: 'not-run'; readonly reason: string; readonly detail: string }
  | { readonly type: 'unknown'; readonly reason: CallFailure; readonly detail: string };
