/** The operator of the demo: states intents, reads the plans, and confirms them. */

import type { Intent } from '../src/plans/intent';
import type { PlanRecord } from '../src/plans/planRecord';
import { callJson } from './http';
import type { Reply } from './http';
import { sleep } from './sleep';
import { OPERATOR_TOKEN } from './startFleet';

export interface DemoOperator {
  /** States an intent, confirms the plan and waits until it is done; gives the plan's record. */
  readonly carryOut: (intent: Intent, reason: string) => Promise<PlanRecord>;
  /** One ask, as it is answered. */
  readonly ask: (method: 'GET' | 'POST', path: string, body?: unknown) => Promise<Reply>;
}

/** Time between two looks at a running plan, milliseconds. */
const POLL_MS = 50;

/** Time in which a plan of the demo has to be done, milliseconds. */
const PLAN_TIMEOUT_MS = 15_000;

/**
 * Creates the operator.
 *
 * @param url gives the URL of any VM
 */
export function createOperator(url: () => string): DemoOperator {
  const ask: DemoOperator['ask'] = (method, path, body) =>
    callJson(`${url()}/v1/operator${path}`, { method, token: OPERATOR_TOKEN, body });
  let last: unknown;
  const until = async <Value>(attempt: () => Promise<Value | undefined>): Promise<Value> => {
    const endsAt = Date.now() + PLAN_TIMEOUT_MS;
    for (;;) {
      const value = await attempt();
      if (value !== undefined) return value;
      if (Date.now() > endsAt)
        throw new Error(`A plan was not done in time: ${JSON.stringify(last)}`);
      await sleep(POLL_MS);
    }
  };
  const state = async (intent: Intent, reason: string): Promise<string | undefined> => {
    const { status, body } = await ask('POST', '/intents', { intent, reason });
    if (status === 200) return (body as { readonly plan: { readonly id: string } }).plan.id;
    last = body;
    if (status === 422 || status === 503) return undefined;
    throw new Error(`An intent was refused: ${JSON.stringify(body)}`);
  };
  return {
    ask,
    carryOut: async (intent, reason) => {
      const plan = await until(async () => {
        const id = await state(intent, reason);
        if (id === undefined) return undefined;
        const confirmed = await ask('POST', `/plans/${id}/confirm`, {});
        last = confirmed.body;
        return confirmed.status === 200 ? id : undefined;
      });
      return until(async () => {
        const { status, body } = await ask('GET', `/plans/${plan}`);
        last = body;
        const record = status === 200 ? (body as PlanRecord) : undefined;
        return record?.status === 'done' ? record : undefined;
      });
    },
  };
}
