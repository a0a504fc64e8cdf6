/** Handles requests of operators. */

import type { Decision } from '../decisions/decision';
import { createAnswer, createRefusal, STATUS } from './answers';
import type { RequestContext } from './openCall';
import { registerCall } from './registerCall';
import { createPlanId } from './createPlanId';
import { AUDIT_END } from './handleAuditRead';
import { planIntent } from './planIntent';
import { AUDIT_PAGE_ENTRIES, MAX_LISTED_PLANS, MAX_OPEN_CALLS } from './planLimits';
import type { OperatorRequest, OperatorRole, PlanEffect, PlanEvent } from './planMessage';
import { formatAuditKey, AUDIT_TABLE, PLANS_TABLE } from './planRows';
import type { PlanId } from './plan';
import type { Plans } from './planState';
import { storePlan } from './storePlan';

type RequestEvent = Extract<PlanEvent, { readonly type: 'operator-asked' }>;
type PlansDecision = Decision<Plans, PlanEffect>;
type RequestHandlers = {
  readonly [Type in OperatorRequest['type']]: (
    state: Plans,
    ask: Extract<OperatorRequest, { readonly type: Type }>,
    event: RequestEvent,
  ) => PlansDecision;
};

/** The role that each request needs; a role includes the ones below it. */
const REQUIRED_ROLES: Readonly<Record<OperatorRequest['type'], OperatorRole>> = {
  'state-intent': 'plan',
  'confirm-plan': 'confirm',
  'cancel-plan': 'plan',
  'list-plans': 'read',
  'show-plan': 'read',
  'read-audit': 'read',
};

const ROLE_RANKS: Readonly<Record<OperatorRole, number>> = { read: 0, plan: 1, confirm: 2 };

const handlers: RequestHandlers = {
  'state-intent': (state, { intent, reason }, event) => {
    const { operator, call, wallMs } = event;
    const id = createPlanId(wallMs, event.id);
    const planned = planIntent(state.configuration, intent, id, operator.name);
    if (planned.type === 'impossible') {
      const { problems } = planned;
      const detail = problems.map(({ problem, remedy }) => `${problem}. ${remedy}`).join('. ');
      const more = { problems };
      const refusal = createRefusal(call, STATUS.impossible, 'intent-impossible', detail, more);
      return { state, effects: [refusal] };
    }
    const purpose = { type: 'store-plan', call, failed: [] } as const;
    return storePlan(state, { plan: planned.plan, intent, reason, wallMs, purpose }, event);
  },
  'confirm-plan': (state, { plan }, event) => readPlan(state, 'confirm', plan, event),
  'cancel-plan': (state, { plan }, event) => readPlan(state, 'cancel', plan, event),
  'show-plan': (state, { plan }, event) => readPlan(state, 'show', plan, event),
  'list-plans': (state, _ask, { call }) => {
    const opened = registerCall(state, { type: 'list-plans', call });
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
    const opened = registerCall(state, {
      type: 'read-audit',
      call,
      filter,
      head,
      found: [],
      pages: 1,
    });
    const range = {
      table: AUDIT_TABLE,
      from: formatAuditKey(1),
      to: AUDIT_END,
      limit: AUDIT_PAGE_ENTRIES,
    };
    return { state: opened.state, effects: [{ type: 'read-range', call: opened.id, range }] };
  },
};

/** Passes a request to its handler if the operator's role allows it. */
export function handleOperatorRequest(state: Plans, event: RequestEvent): PlansDecision {
  const { ask, call, operator } = event;
  const needed = REQUIRED_ROLES[ask.type];
  if (ROLE_RANKS[operator.role] < ROLE_RANKS[needed]) {
    const detail = `${operator.name} has role ${operator.role}; ${ask.type} takes role ${needed}`;
    return {
      state,
      effects: [
        { type: 'count', counter: 'operator_asks_denied', by: 1, labels: { ask: ask.type } },
        createRefusal(call, STATUS.forbidden, 'role-too-low', detail),
      ],
    };
  }
  if (state.open.size >= MAX_OPEN_CALLS) {
    const detail = 'Too many calls are open; try again';
    return { state, effects: [createRefusal(call, STATUS.unavailable, 'overloaded', detail)] };
  }
  const next = { ...state, wallOffsetMs: event.wallMs - event.atMs };
  const handle = handlers[ask.type] as (
    state: Plans,
    ask: OperatorRequest,
    event: RequestEvent,
  ) => PlansDecision;
  return handle(next, ask, event);
}

function readPlan(
  state: Plans,
  then: 'show' | 'confirm' | 'cancel',
  plan: PlanId,
  { call, operator, wallMs, id }: RequestEvent,
): PlansDecision {
  const context: RequestContext = { call, operator, wallMs, id };
  if (plan === '') return { state, effects: [createAnswer(call, STATUS.notFound, {})] };
  const opened = registerCall(state, { type: 'find-plan', then, plan, context });
  const read = { type: 'read-rows', call: opened.id, table: PLANS_TABLE, keys: [plan] } as const;
  return { state: opened.state, effects: [read] };
}
