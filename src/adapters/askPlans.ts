/** Brings an operator's ask to the plans side and the answer back. */

import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Operator, OperatorRequest } from '../plans/planMessage';
import type { Exchange } from './exchange';
import type { Refusal } from '../outcomes/outcome';
import { sendJson } from './sendJson';
import { sendProblem } from './sendProblem';

/**
 * Asks and answers.
 *
 * @param exchange the exchange
 * @param operator who asks
 * @param ask what
 */
export async function askPlans(
  { host, response }: Exchange,
  operator: Operator,
  ask: OperatorRequest,
): Promise<void> {
  const call = host.createId();
  const answer = host.waiting.operators.wait(call);
  const wallMs = Date.now();
  const id = randomUUID();
  host.send({ side: 'plans', event: { type: 'operator-asked', call, operator, ask, wallMs, id } });
  const { status, body } = await answer;
  if (status < 400) sendJson(response, status, body);
  else sendProblem(response, { ...readRefusal(body), status }, body);
}

const refusalSchema = z.object({
  outcome: z.enum(['not-run', 'unknown', 'failed']).default('failed'),
  reason: z.string().default('operator-ask-refused'),
  detail: z.string().default('the ask was refused'),
});

function readRefusal(body: unknown): Pick<Refusal, 'outcome' | 'reason' | 'detail'> {
  return refusalSchema.parse(typeof body === 'object' && body !== null ? body : {});
}
