/** Passes an operator's request to the plans component and responds with its answer. */

import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Operator, OperatorAsk } from '../plans/planMessage';
import type { Exchange } from './exchange';
import type { Refusal } from '../outcomes/outcome';
import { sendJson } from './sendJson';
import { sendProblem } from './sendProblem';

/**
 * Responds with the plans component's answer, or with a problem document for a status of 400 or above.
 *
 * @param exchange the HTTP exchange to respond to
 * @param operator the authenticated operator
 * @param request the operator's request
 */
export async function answerOperatorRequest(
  { host, response }: Exchange,
  operator: Operator,
  request: OperatorAsk,
): Promise<void> {
  const call = host.createId();
  const answer = host.waiting.operators.wait(call);
  const wallMs = Date.now();
  const id = randomUUID();
  host.send({
    side: 'plans',
    event: { type: 'operator-asked', call, operator, ask: request, wallMs, id },
  });
  const { status, body } = await answer;
  if (status < 400) sendJson(response, status, body);
  else sendProblem(response, { ...parseRefusal(body), status }, body);
}

const refusalSchema = z.object({
  outcome: z.enum(['not-run', 'unknown', 'failed']).default('failed'),
  reason: z.string().default('operator-ask-refused'),
  detail: z.string().default('the ask was refused'),
});

function parseRefusal(body: unknown): Pick<Refusal, 'outcome' | 'reason' | 'detail'> {
  return refusalSchema.parse(typeof body === 'object' && body !== null ? body : {});
}
