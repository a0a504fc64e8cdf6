/** Sends the result of a call to a plain service. */

import type { ServerResponse } from 'node:http';
import type { CallResult } from '../operations/operationMessage';
import { sendProblem } from './sendProblem';
import { toProblem } from './toProblem';

/**
 * Sends the service's answer, or a problem document for a refusal.
 *
 * @param response an HTTP response that has not started; otherwise nothing is sent
 * @param result the service's answer or the refusal
 */
export function sendCallResult(response: ServerResponse, result: CallResult): void {
  if (result.type === 'refused') {
    sendProblem(response, toProblem(result.refusal));
    return;
  }
  if (response.headersSent || response.destroyed) return;
  const { status, contentType, body } = result.answer;
  response.writeHead(status, { 'content-type': contentType, 'cache-control': 'no-store' });
  response.end(body);
}
