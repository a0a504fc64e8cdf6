/** Takes the asks of operators in. */

import type { Decision } from '../decisions/decision';
import { answer, refuse, STATUS } from './answers';
import type { Asker } from './openCall';
import { openCallAs } from './openCallAs';
import { createPlanId } from './createPlanId';
import { AUDIT_END } from './handleAuditRead';
import { planIntent } from './planIntent';
import { AUDIT_PAGE, MAX_LISTED_PLANS, MAX_OPEN_CALLS } from './planLimits';
import type { OperatorAsk, OperatorRole, PlanEffect, PlanEvent } from './planMessage';
import { auditKey, AUDIT_TABLE, PLANS_TABLE } from './planRows';
import type { PlanId } from './plan';
import type { Plans } from './planState';
import { storePlan } from './storePlan';

type Asked = Extract<PlanEvent, { readonly type: 'operator-asked' }>;
type Step = Decision<Plans, PlanEffect>;
type AskHandlers = {
  readonly [Type in OperatorAsk['type']]: (
    state: Plans,
    ask: Extract<OperatorAsk, { readonly type: Type }>,
    event: Asked,
  ) => Step;
};

/** The role that each ask takes; a role includes the ones below it. */
const ROLES: Readonly<Record<OperatorAsk['type'], OperatorRole>> = {
  'state-intent': 'plan',
  'confirm-plan': 'confirm',
  'cancel-plan': 'plan',
  'list-plans': 'read',
  'show-plan': 'read',
  'read-audit': 'read',
};

const RANK: Readonly<Record<OperatorRole, number>> = { read: 0, plan: 1, confirm: 2 };

const handlers: AskHandlers = {
  'state-intent': (state, { intent, reason }, event) => {
    const { operator, call, wallMs } = event;
    const id = createPlanId(wallMs, event.id);
    const planned = planIntent(state.configuration, intent, id, operator.name);
    if (planned.type === 'impossible') {
      const { problems } = planned;
      const detail = problems.map(({ problem, remedy }) => `${problem}. ${remedy}`).join('. ');
      const more = { problems };
      const refusal = refuse(call, STATUS.impossible, 'intent-impossible', detail, more);
      return { state, effects: [refusal] };
    }
    const purpose = { type: 'store-plan', call, failed: [] } as const;
    return storePlan(state, { plan: planned.plan, intent, reason, wallMs, purpose }, event);
  },
  'confirm-plan': (state, { plan }, event) => findPlan(state, 'confirm', plan, event),
  'cancel-plan': (state, { plan }, event) => findPlan(state, 'cancel', plan, event),
  'show-plan': (state, { plan }, event) => findPlan(state, 'show', plan, event),
  'list-plans': (state, _ask, { call }) => {
    const opened = openCallAs(state, { type: 'list-plans', call });
    const range = { table: PLANS_TABLE, from: '', limit: MAX_LISTED_PLANS };
    return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
  },
  'read-audit': (state, ask, { call }) => {
    const filter = {
      since: ask.since ?? 0,
      service: ask.service ?? '',
      who: ask.who ?? '',
      limit: ask.limit,
      verify: ask.verify ?? false,
    };
    const head = { sequence: 0, hash: '' };
    const opened = openCallAs(state, {
      type: 'read-audit',
      call,
      filter,
      head,
      found: [],
      pages: 1,
    });
    const range = { table: AUDIT_TABLE, from: auditKey(1), to: AUDIT_END, limit: AUDIT_PAGE };
    return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
  },
};

/** Hands an ask to its handler where the operator's role allows it. */
export function handleAsk(state: Plans, event: Asked): Step {
  const { ask, call, operator } = event;
  const needed = ROLES[ask.type];
  if (RANK[operator.role] < RANK[needed]) {
    const detail = `${operator.name} has role ${operator.role}; ${ask.type} takes role ${needed}`;
    return {
      state,
      effects: [
        { type: 'count', counter: 'operator_asks_denied', by: 1, labels: { ask: ask.type } },
        refuse(call, STATUS.forbidden, 'role-too-low', detail),
      ],
    };
  }
  if (state.open.size >= MAX_OPEN_CALLS) {
    const detail = 'Too many calls are open; try again';
    return { state, effects: [refuse(call, STATUS.unavailable, 'overloaded', detail)] };
  }
  const heard = { ...state, wallOffsetMs: event.wallMs - event.atMs };
  const handle = handlers[ask.type] as (state: Plans, ask: OperatorAsk, event: Asked) => Step;
  return handle(heard, ask, event);
}

function findPlan(
  state: Plans,
  then: 'show' | 'confirm' | 'cancel',
  plan: PlanId,
  { call, operator, wallMs, id }: Asked,
): Step {
  const asker: Asker = { call, operator, wallMs, id };
  if (plan === '') return { state, effects: [answer(call, STATUS.notFound, {})] };
  const opened = openCallAs(state, { type: 'find-plan', then, plan, asker });
  const read = { type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys: [plan] } as const;
  return { state: opened.state, effects: [read] };
}
