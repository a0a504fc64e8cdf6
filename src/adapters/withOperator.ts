/** Lets only operators with a sufficient role pass. */

import { timingSafeEqual } from 'node:crypto';
import type { OperatorSettings } from '../node/settings';
import type { Operator, OperatorRole } from '../plans/planMessage';
import type { Exchange, ExchangeHandler } from './exchange';
import { hashToken } from './hashToken';
import { readBearer } from './readBearer';
import { refuseExchange } from './refuseExchange';

/** Each role includes those of a lower rank. */
const RANK: Readonly<Record<OperatorRole, number>> = { read: 0, plan: 1, confirm: 2 };

/**
 * Puts the operator before a handler.
 *
 * @param role the least role
 * @param handle what is done for operators of that role
 */
export function withOperator(
  role: OperatorRole,
  handle: (exchange: Exchange, operator: Operator) => Promise<void> | void,
): ExchangeHandler {
  return (exchange) => {
    const token = readBearer(exchange.request);
    const operator = token === undefined ? undefined : find(exchange.host.operators, token);
    if (operator === undefined) {
      refuseExchange(exchange, 'unauthenticated', 'no operator has this bearer token');
      return undefined;
    }
    if (RANK[operator.role] < RANK[role]) {
      refuseExchange(exchange, 'forbidden', `this needs the role ${role}`);
      return undefined;
    }
    return handle(exchange, { name: operator.name, role: operator.role });
  };
}

function find(operators: readonly OperatorSettings[], token: string): OperatorSettings | undefined {
  const hash = Buffer.from(hashToken(token), 'hex');
  return operators.find(({ tokenHash }) => timingSafeEqual(Buffer.from(tokenHash, 'hex'), hash));
}
