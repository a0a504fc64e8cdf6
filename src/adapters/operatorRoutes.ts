/** The HTTP routes for operators, under `/v1/operator/`. */

import { z } from 'zod';
import type { OperatorAsk } from '../plans/planMessage';
import { answerOperatorRequest } from './answerOperatorRequest';
import { DEFAULT_AUDIT_ROWS, MAX_AUDIT_ROWS } from './constants';
import type { Exchange } from './exchange';
import { intentSchema } from './intentSchema';
import { readJsonBody } from './readJsonBody';
import { refuseExchange } from './refuseExchange';
import type { Route } from './route';
import { sendJson } from './sendJson';
import { withOperator } from './withOperator';

const intentBody = z.object({
  intent: intentSchema,
  reason: z.string().min(1).max(1000),
});

const auditQuery = z.object({
  since: z.coerce.number().optional(),
  service: z.string().optional(),
  who: z.string().optional(),
  verify: z.stringbool().default(false),
  limit: z.coerce.number().int().min(1).max(MAX_AUDIT_ROWS).default(DEFAULT_AUDIT_ROWS),
});

const submitIntent = withOperator('plan', async (exchange, operator) => {
  const body = await readJsonBody(exchange);
  if (body === undefined) return;
  const checked = intentBody.safeParse(body);
  if (!checked.success) {
    refuseExchange(exchange, 'invalid-request', z.prettifyError(checked.error));
    return;
  }
  const { intent, reason } = checked.data;
  await answerOperatorRequest(exchange, operator, { type: 'state-intent', intent, reason });
});

const readAudit = withOperator('read', async (exchange, operator) => {
  const checked = auditQuery.safeParse(Object.fromEntries(exchange.url.searchParams));
  if (!checked.success) {
    refuseExchange(exchange, 'invalid-request', z.prettifyError(checked.error));
    return;
  }
  const { since, service, who, verify, limit } = checked.data;
  await answerOperatorRequest(exchange, operator, {
    type: 'read-audit',
    limit,
    verify,
    ...(since === undefined ? {} : { since }),
    ...(service === undefined ? {} : { service }),
    ...(who === undefined ? {} : { who }),
  });
});

const createPlanHandler = (
  role: 'read' | 'plan' | 'confirm',
  createRequest: (plan: string) => OperatorAsk,
): Route['handle'] =>
  withOperator(role, (exchange, operator) =>
    answerOperatorRequest(
      exchange,
      operator,
      createRequest(decodeURIComponent(exchange.captured[0] ?? '')),
    ),
  );

const sendView = (exchange: Exchange): void => {
  const [name = '', argument = ''] = exchange.captured;
  const view = exchange.host.view(name, decodeURIComponent(argument));
  if (view === undefined) refuseExchange(exchange, 'no-such-path', `nothing under ${name}`);
  else sendJson(exchange.response, 200, view);
};

/** Routes in order; the first match wins. */
export const operatorRoutes: readonly Route[] = [
  { method: 'POST', path: /^\/v1\/operator\/intents$/, handle: submitIntent },
  {
    method: 'GET',
    path: /^\/v1\/operator\/plans$/,
    handle: createPlanHandler('read', () => ({ type: 'list-plans' })),
  },
  {
    method: 'GET',
    path: /^\/v1\/operator\/plans\/([^/]+)$/,
    handle: createPlanHandler('read', (plan) => ({ type: 'show-plan', plan })),
  },
  {
    method: 'POST',
    path: /^\/v1\/operator\/plans\/([^/]+)\/confirm$/,
    handle: createPlanHandler('confirm', (plan) => ({ type: 'confirm-plan', plan })),
  },
  {
    method: 'POST',
    path: /^\/v1\/operator\/plans\/([^/]+)\/cancel$/,
    handle: createPlanHandler('confirm', (plan) => ({ type: 'cancel-plan', plan })),
  },
  { method: 'GET', path: /^\/v1\/operator\/audit$/, handle: readAudit },
  {
    method: 'GET',
    path: /^\/v1\/operator\/(status|vms|backends|configuration)$/,
    handle: withOperator('read', sendView),
  },
  {
    method: 'GET',
    path: /^\/v1\/operator\/(explain)\/(.+)$/,
    handle: withOperator('read', sendView),
  },
];
