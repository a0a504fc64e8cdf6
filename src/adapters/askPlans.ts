/** Brings an operator's ask to the plans side and the answer back. */

import type { Operator, OperatorAsk } from '../plans/planMessage';
import type { Exchange } from './exchange';
import { sendJson } from './sendJson';

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
  ask: OperatorAsk,
): Promise<void> {
  const call = host.createId();
  const answer = host.waiting.operators.wait(call);
  const wallMs = Date.now();
  const id = host.createId();
  host.send({ side: 'plans', event: { type: 'operator-asked', call, operator, ask, wallMs, id } });
  const { status, body } = await answer;
  sendJson(response, status, body);
}
