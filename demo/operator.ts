/** The demo's operator: states intents, then reads and confirms their plans. */

import type { Intent } from '../src/plans/intent';
import type { PlanRecord } from '../src/plans/planRecord';
import { callJson } from './http';
import type { Reply } from './http';
import { sleep } from './sleep';
import { OPERATOR_TOKEN } from './startFleet';

export interface DemoOperator {
  /** States an intent, confirms its plan, waits until it is done and returns the plan's record. */
  readonly executeIntent: (intent: Intent, reason: string) => Promise<PlanRecord>;
  /** Sends one operator request and returns its answer, without retries. */
  readonly ask: (method: 'GET' | 'POST', path: string, body?: unknown) => Promise<Reply>;
}

/** Interval between two polls of a plan, milliseconds. */
const POLL_MS = 50;

/** Timeout of each phase of a plan, confirming and executing, milliseconds. */
const PLAN_TIMEOUT_MS = 15_000;

/**
 * Creates the operator.
 *
 * @param url returns the URL of any VM
 */
export function createOperator(url: () => string): DemoOperator {
  const ask: DemoOperator['ask'] = (method, path, body) =>
    callJson(`${url()}/v1/operator${path}`, { method, token: OPERATOR_TOKEN, body });
  let lastBody: unknown;
  const pollUntilDefined = async <Value>(
    attempt: () => Promise<Value | undefined>,
  ): Promise<Value> => {
    const endsAt = Date.now() + PLAN_TIMEOUT_MS;
    for (;;) {
      const value = await attempt();
      if (value !== undefined) return value;
      if (Date.now() > endsAt)
        throw new Error(`The plan timed out; last answer: ${JSON.stringify(lastBody)}`);
      await sleep(POLL_MS);
    }
  };
  const submitIntent = async (intent: Intent, reason: string): Promise<string | undefined> => {
    const { status, body } = await ask('POST', '/intents', { intent, reason });
    if (status === 200) return (body as { readonly plan: { readonly id: string } }).plan.id;
    lastBody = body;
    if (status === 422 || status === 503) return undefined;
    throw new Error(`The intent was refused: ${JSON.stringify(body)}`);
  };
  return {
    ask,
    executeIntent: async (intent, reason) => {
      const plan = await pollUntilDefined(async () => {
        const id = await submitIntent(intent, reason);
        if (id === undefined) return undefined;
        const confirmed = await ask('POST', `/plans/${id}/confirm`, {});
        lastBody = confirmed.body;
        return confirmed.status === 200 ? id : undefined;
      });
      return pollUntilDefined(async () => {
        const { status, body } = await ask('GET', `/plans/${plan}`);
        lastBody = body;
        const record = status === 200 ? (body as PlanRecord) : undefined;
        return record?.status === 'done' ? record : undefined;
      });
    },
  };
}
