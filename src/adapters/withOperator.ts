/** Restricts a handler to operators with a sufficient role. */

import { timingSafeEqual } from 'node:crypto';
import type { OperatorSettings } from '../node/settings';
import type { Operator, OperatorRole } from '../plans/planMessage';
import type { Exchange, ExchangeHandler } from './exchange';
import { hashToken } from './hashToken';
import { readBearer } from './readBearer';
import { refuseExchange } from './refuseExchange';

/** Each role includes those of a lower rank. */
const ROLE_RANKS: Readonly<Record<OperatorRole, number>> = { read: 0, plan: 1, confirm: 2 };

/**
 * Wraps a handler with operator authentication and a role check.
 *
 * @param role the minimum role
 * @param handle the handler for authorized operators
 */
export function withOperator(
  role: OperatorRole,
  handle: (exchange: Exchange, operator: Operator) => Promise<void> | void,
): ExchangeHandler {
  return (exchange) => {
    const token = readBearer(exchange.request);
    const operator = token === undefined ? undefined : findOperator(exchange.host.operators, token);
    if (operator === undefined) {
      refuseExchange(exchange, 'unauthenticated', 'no operator has this bearer token');
      return undefined;
    }
    if (ROLE_RANKS[operator.role] < ROLE_RANKS[role]) {
      refuseExchange(exchange, 'forbidden', `this needs the role ${role}`);
      return undefined;
    }
    return handle(exchange, { name: operator.name, role: operator.role });
  };
}

function findOperator(
  operators: readonly OperatorSettings[],
  token: string,
): OperatorSettings | undefined {
  const hash = Buffer.from(hashToken(token), 'hex');
  return operators.find(({ tokenHash }) => timingSafeEqual(Buffer.from(tokenHash, 'hex'), hash));
}
